package org.ragwortbank.core.entry

import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.Route
import org.ragwortbank.core.model.UpstreamKind
import org.ragwortbank.core.model.Work
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Timestamp

/** Checks [call], received at [now]: drain state, open requests, route, API key, kind of call and token burst. */
internal fun checkAdmission(tables: EntryTables, call: Call, now: Timestamp): Admission {
    val route = tables.configuration.routes[call.route]
    return when {
        tables.refusesNewWork(now) -> refused(ResultCode.DRAINING)
        tables.requests.size >= tables.settings.maxRequests -> refused(ResultCode.OVERLOADED)
        route == null -> refused(ResultCode.ROUTE_UNKNOWN, "unknown route '${call.route}'")
        else -> checkAccount(tables, call, route)
    }
}

private fun EntryTables.refusesNewWork(now: Timestamp): Boolean =
    stoppingSince != null && now - stoppingSince > settings.drainGrace

private fun checkAccount(tables: EntryTables, call: Call, route: Route): Admission {
    val account = call.credential?.let { tables.configuration.keys[it] }?.account
    return when {
        account != null && (route.allowsAnonymous || account in route.accounts) ->
            checkWork(tables, call, route, account)
        route.allowsAnonymous -> checkWork(tables, call, route, Account.ANONYMOUS)
        call.credential == null -> refused(ResultCode.KEY_MISSING)
        account == null -> refused(ResultCode.KEY_UNKNOWN)
        else -> refused(ResultCode.ROUTE_FORBIDDEN, "account '$account' has no access to route '${route.name}'")
    }
}

private fun checkWork(tables: EntryTables, call: Call, route: Route, id: AccountId): Admission {
    val account = tables.configuration.accounts[id]
    val reservedTokens = tokensToReserve(call.work, tables.settings)
    return when {
        kindOf(call.work) != tables.configuration.pools[route.pool]?.kind -> refused(ResultCode.WRONG_CALL)
        account == null -> refused(ResultCode.NO_AGREEMENT, "account '$id' has no configured rate and burst")
        reservedTokens > account.burst -> exceedsBurst(reservedTokens, account)
        else -> Admission.Allowed(route, id, reservedTokens)
    }
}

private fun exceedsBurst(reservedTokens: Long, account: Account): Admission =
    refused(
        ResultCode.EXCEEDS_BURST,
        "the request reserves $reservedTokens tokens, the burst is ${account.burst} tokens",
    )

private fun kindOf(work: Work): UpstreamKind =
    when (work) {
        is Work.Generation -> UpstreamKind.ENGINE
        is Work.ServiceCall -> UpstreamKind.SERVICE
    }

private fun refused(code: ResultCode, detail: String = code.meaning): Admission =
    Admission.Refused(Refusal.notRun(code, detail))
