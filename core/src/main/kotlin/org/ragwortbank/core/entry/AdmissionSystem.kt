package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.Route
import org.ragwortbank.core.model.UpstreamKind
import org.ragwortbank.core.model.Work
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Checks each new request against keys, routes and bounds, and queues it for tokens of its account. */
class AdmissionSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { s, input ->
            if (input is EntryInput.CallArrived) admit(s, input.call, tick.now) else s
        }

    private fun admit(step: EntryStep, call: Call, now: Timestamp): EntryStep =
        when (val verdict = check(step.tables, call, now)) {
            is Verdict.Refused -> refuseNew(step, call, verdict.refusal)
            is Verdict.Allowed -> accept(step, newRequest(step.tables, call, verdict, now))
        }

    private fun check(tables: EntryTables, call: Call, now: Timestamp): Verdict {
        val route = tables.configuration.routes[call.route]
        return when {
            tables.refusesNewWork(now) -> refused(ResultCode.DRAINING)
            tables.requests.size >= tables.settings.maxRequests -> refused(ResultCode.OVERLOADED)
            route == null -> refused(ResultCode.ROUTE_UNKNOWN, "no route is named '${call.route}'")
            else -> checkAccount(tables, call, route)
        }
    }

    private fun EntryTables.refusesNewWork(now: Timestamp): Boolean =
        stoppingSince != null && now - stoppingSince > settings.drainGrace

    private fun checkAccount(tables: EntryTables, call: Call, route: Route): Verdict {
        val account = call.credential?.let { tables.configuration.keys[it] }?.account
        return when {
            account != null && (route.open || account in route.accounts) -> checkWork(tables, call, route, account)
            route.open -> checkWork(tables, call, route, Account.ANONYMOUS)
            call.credential == null -> refused(ResultCode.KEY_MISSING)
            account == null -> refused(ResultCode.KEY_UNKNOWN)
            else -> refused(ResultCode.ROUTE_FORBIDDEN, "account '$account' may not use route '${route.name}'")
        }
    }

    private fun checkWork(tables: EntryTables, call: Call, route: Route, id: AccountId): Verdict {
        val account = tables.configuration.accounts[id]
        val reserve = reserveFor(call.work, tables.settings)
        return when {
            kindOf(call.work) != tables.configuration.pools[route.pool]?.kind -> refused(ResultCode.WRONG_CALL)
            account == null -> refused(ResultCode.NO_AGREEMENT, "account '$id' has no rate and burst")
            reserve > account.burst -> exceedsBurst(reserve, account)
            else -> Verdict.Allowed(route, id, reserve)
        }
    }

    private fun exceedsBurst(reserve: Long, account: Account): Verdict =
        refused(ResultCode.EXCEEDS_BURST, "the request may take $reserve tokens, the burst is ${account.burst}")

    private fun kindOf(work: Work): UpstreamKind =
        when (work) {
            is Work.Generate -> UpstreamKind.ENGINE
            is Work.Plain -> UpstreamKind.SERVICE
        }

    private fun refused(code: ResultCode, detail: String = code.meaning): Verdict =
        Verdict.Refused(Refusal.notRun(code, detail))

    private fun newRequest(tables: EntryTables, call: Call, verdict: Verdict.Allowed, now: Timestamp): Request =
        Request(
            call = call,
            account = verdict.account,
            route = verdict.route,
            idempotent = mayRepeat(call, verdict.route),
            reserve = reserveFor(call.work, tables.settings),
            receivedAt = now,
        )

    private fun accept(step: EntryStep, request: Request): EntryStep {
        val id = request.call.id
        val row = step.tables.credits[request.account] ?: CreditRow()
        return step.update { tables ->
            tables.put(request).copy(
                credits = tables.credits.put(request.account, row.copy(waiting = row.waiting.add(id))),
                askable = tables.askable.add(request.account),
            )
        }
    }

    private fun refuseNew(step: EntryStep, call: Call, refusal: Refusal): EntryStep =
        step
            .log(LogPart.ADMISSION, "request ${call.id} on ${call.route} refused: ${refusal.code.number} ${refusal.code}")
            .emit(EntryEffect.Refuse(call.id, refusal))

    private sealed interface Verdict {
        data class Allowed(val route: Route, val account: AccountId, val reserve: Long) : Verdict
        data class Refused(val refusal: Refusal) : Verdict
    }
}
