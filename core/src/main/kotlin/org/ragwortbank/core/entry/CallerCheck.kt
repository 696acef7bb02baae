package org.ragwortbank.core.entry

import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode

/**
 * Why a caller who isn't known must not learn what is wrong with a request; null when it may.
 *
 * @param route the route that the request names; null when that can't be read
 */
fun Configuration.refusalOfUnknownCaller(credential: KeyHash?, route: RouteName?): Refusal? =
    when {
        route != null && routes[route]?.open == true -> null
        credential == null -> Refusal.notRun(ResultCode.KEY_MISSING)
        credential !in keys -> Refusal.notRun(ResultCode.KEY_UNKNOWN)
        else -> null
    }
