package org.ragwortbank.core.message

import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.model.Work

/** Commands that an entry sends to a sidecar. */
sealed interface SidecarCommand {
    /** Runs [work] once, with [adapter] if there is one. */
    data class Dispatch(
        val run: RunId,
        val account: AccountId,
        val route: RouteName,
        val adapter: AdapterRef?,
        val isIdempotent: Boolean,
        val work: Work,
    ) : SidecarCommand

    /** Cancels [run], because the caller no longer waits for its answer. */
    data class Cancel(val run: RunId) : SidecarCommand
}
