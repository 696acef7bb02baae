package org.ragwortbank.core.message

import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.model.Work

/** What an entry asks of a sidecar. */
sealed interface SidecarCommand {
    /** Run [work] once, on [adapter] when one is given. */
    data class Dispatch(
        val run: RunId,
        val account: AccountId,
        val route: RouteName,
        val adapter: AdapterRef?,
        val idempotent: Boolean,
        val work: Work,
    ) : SidecarCommand

    /** The caller no longer waits for [run]. */
    data class Cancel(val run: RunId) : SidecarCommand
}
