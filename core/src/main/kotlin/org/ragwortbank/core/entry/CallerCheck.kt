package org.ragwortbank.core.entry

import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode

/**
 * The refusal for a caller without a valid API key, which hides what else is wrong with the request; null when the
 * caller is known or the route is open to all.
 *
 * @param route the route that the request names; null when it could not be decoded
 */
fun Configuration.refusalOfUnknownCaller(credential: KeyHash?, route: RouteName?): Refusal? =
    when {
        route != null && routes[route]?.allowsAnonymous == true -> null
        credential == null -> Refusal.notRun(ResultCode.KEY_MISSING)
        credential !in keys -> Refusal.notRun(ResultCode.KEY_UNKNOWN)
        else -> null
    }
