package org.ragwortbank.core.entry

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.routing.UpstreamSelection
import org.ragwortbank.core.routing.UpstreamSelector
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Dispatches each ready request to an available upstream of its route's pool. */
class DispatchSystem(private val policy: UpstreamSelector) : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        step.tables.readyRequests
            .fold(step) { acc, id -> acc.tables.requests[id]?.let { dispatch(acc, it, tick.now) } ?: acc }
            .update { it.copy(readyRequests = persistentListOf()) }

    private fun dispatch(step: EntryStep, request: Request, now: Timestamp): EntryStep {
        val candidates = candidates(step.tables, request)
        return when {
            candidates.isEmpty() -> step.refuse(request, noUpstreamRefusal(request))
            else -> send(step, request, policy.select(request.route.adapter, candidates), now)
        }
    }

    private fun candidates(tables: EntryTables, request: Request): List<Upstream> =
        tables.poolMembers[request.route.pool]
            .orEmpty()
            .mapNotNull { tables.upstreams[it] }
            .filter { it.isAvailable && it.instance.name !in request.triedUpstreams }

    private fun noUpstreamRefusal(request: Request): Refusal {
        val tried = request.triedUpstreams.size
        val detail = "pool '${request.route.pool}' has no available upstream left, $tried already tried"
        return Refusal.notRun(ResultCode.NO_UPSTREAM, detail)
    }

    private fun send(step: EntryStep, request: Request, choice: UpstreamSelection, now: Timestamp): EntryStep {
        val target = choice.upstream.instance.name
        val run = RunId(request.call.id, request.attempts + 1)
        val line = "run $run of ${request.account} on ${routeText(request)} to $target: ${choice.reason}"
        return step
            .log(LogPart.ROUTING, line)
            .update { it.putRequest(request.copy(stage = Stage.Dispatched(target, run, now), attempts = run.attempt)) }
            .update { tables -> tables.updateUpstream(target) { it.countDispatch() } }
            .emit(EntryEffect.SendToSidecar(target, dispatchCommand(request, run)))
    }

    private fun routeText(request: Request): String {
        val adapter = request.route.adapter?.let { ", adapter ${it.name} version ${it.version}," }.orEmpty()
        return "route ${request.route.name}$adapter"
    }

    private fun Upstream.countDispatch(): Upstream =
        copy(outstanding = outstanding + 1, dispatchedSinceDigest = dispatchedSinceDigest + 1)

    private fun dispatchCommand(request: Request, run: RunId): SidecarCommand =
        SidecarCommand.Dispatch(
            run = run,
            account = request.account,
            route = request.route.name,
            adapter = request.route.adapter,
            isIdempotent = request.idempotent,
            work = request.call.work,
        )
}
