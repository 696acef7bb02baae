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

/** Sends each ready request to an upstream of its route's pool. */
class DispatchSystem(private val policy: UpstreamSelector) : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        step.tables.ready
            .fold(step) { s, id -> s.tables.requests[id]?.let { dispatch(s, it, tick.now) } ?: s }
            .update { it.copy(ready = persistentListOf()) }

    private fun dispatch(step: EntryStep, request: Request, now: Timestamp): EntryStep {
        val candidates = candidates(step.tables, request)
        return when {
            candidates.isEmpty() -> step.refuse(request, noUpstream(request))
            else -> send(step, request, policy.select(request.route.adapter, candidates), now)
        }
    }

    private fun candidates(tables: EntryTables, request: Request): List<Upstream> =
        tables.poolMembers[request.route.pool]
            .orEmpty()
            .mapNotNull { tables.upstreams[it] }
            .filter { it.accepting && it.instance.name !in request.tried }

    private fun noUpstream(request: Request): Refusal {
        val detail = "pool '${request.route.pool}' has no further upstream, ${request.tried.size} were tried"
        return Refusal.notRun(ResultCode.NO_UPSTREAM, detail)
    }

    private fun send(step: EntryStep, request: Request, choice: UpstreamSelection, now: Timestamp): EntryStep {
        val target = choice.upstream.instance.name
        val run = RunId(request.call.id, request.attempts + 1)
        return step
            .log(LogPart.ROUTING, "run $run of ${request.account} on ${describe(request)} to $target: ${choice.reason}")
            .update { it.put(request.copy(stage = Stage.Dispatched(target, run, now), attempts = run.attempt)) }
            .update { tables -> tables.updateUpstream(target) { it.countDispatch() } }
            .emit(EntryEffect.ToSidecar(target, command(request, run)))
    }

    private fun describe(request: Request): String {
        val adapter = request.route.adapter?.let { ", adapter ${it.adapter} version ${it.version}," }.orEmpty()
        return "route ${request.route.name}$adapter"
    }

    private fun Upstream.countDispatch(): Upstream =
        copy(outstanding = outstanding + 1, sentSinceDigest = sentSinceDigest + 1)

    private fun command(request: Request, run: RunId): SidecarCommand =
        SidecarCommand.Dispatch(
            run = run,
            account = request.account,
            route = request.route.name,
            adapter = request.route.adapter,
            idempotent = request.idempotent,
            work = request.call.work,
        )
}
