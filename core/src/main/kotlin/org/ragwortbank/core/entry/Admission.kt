package org.ragwortbank.core.entry

import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.Route
import org.ragwortbank.core.result.Refusal

/** Whether a call may wait for tokens. */
internal sealed interface Admission {
    /** It may, on [route] for [account], with [reservedTokens] tokens at most. */
    data class Allowed(val route: Route, val account: AccountId, val reservedTokens: Long) : Admission

    /** It may not. */
    data class Refused(val refusal: Refusal) : Admission
}
