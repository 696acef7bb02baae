package org.ragwortbank.core.entry

import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.Route
import org.ragwortbank.core.result.Refusal

/** Result of checking a new call before it reserves tokens. */
internal sealed interface Admission {
    /** The call may run on [route] for [account], with [reservedTokens] tokens at most. */
    data class Allowed(val route: Route, val account: AccountId, val reservedTokens: Long) : Admission

    /** The call is refused. */
    data class Refused(val refusal: Refusal) : Admission
}
