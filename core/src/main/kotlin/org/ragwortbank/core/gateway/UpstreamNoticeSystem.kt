package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.UpstreamIncarnation
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Applies what upstreams say of themselves in their answers: one that leaves gets nothing more, whatever the store
 * lists, and one that asks for quiet gets nothing until that time is over. Also notes when one closes a connection that
 * is kept open, since it may be about to start again.
 */
class UpstreamNoticeSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep =
        tick.inputs.fold(step) { current, input ->
            when (input) {
                is GatewayInput.UpstreamNoticeReceived -> receive(current, input, tick.now)
                is GatewayInput.IdleConnectionClosed -> noteClosed(current, input.endpoint, tick.now)
                else -> current
            }
        }

    private fun noteClosed(step: GatewayStep, endpoint: Endpoint, now: Timestamp): GatewayStep =
        step.tables.upstreams.values
            .filter { it.registration.endpoint == endpoint }
            .fold(step) { current, row ->
                current.update { tables -> tables.updateUpstream(row.registration.id) { it.copy(closedAt = now) } }
            }

    private fun receive(step: GatewayStep, input: GatewayInput.UpstreamNoticeReceived, now: Timestamp): GatewayStep {
        val leaving = if (input.notice.isLeaving) markLeaving(step, input.from, now) else step
        val quietTime = input.notice.quietTime ?: return leaving
        return keepQuiet(leaving, input.from, quietTime, now)
    }

    private fun markLeaving(step: GatewayStep, from: UpstreamIncarnation, now: Timestamp): GatewayStep {
        if (step.tables.isKnownToLeave(from)) return step
        return step
            .log(LogPart.MEMBERS, "upstream ${from.upstream} says in an answer that it leaves")
            .update { tables ->
                val recent = tables.leavingUpstreams.filterValues { now - it < LEAVING_MEMORY }.toPersistentMap()
                tables.copy(leavingUpstreams = recent.put(from, now))
            }
            .updateIncarnation(from) { it.copy(isLeaving = true) }
    }

    private fun keepQuiet(step: GatewayStep, from: UpstreamIncarnation, time: Duration, now: Timestamp): GatewayStep {
        val until = now + time
        val isLonger = step.tables.upstreams[from.upstream]?.quietUntil?.let { it < until } ?: true
        if (!isLonger) return step
        return step
            .log(LogPart.MEMBERS, "upstream ${from.upstream} wants no requests for $time")
            .updateIncarnation(from) { it.copy(quietUntil = until) }
    }

    private fun GatewayStep.updateIncarnation(
        from: UpstreamIncarnation,
        change: (UpstreamRow) -> UpstreamRow,
    ): GatewayStep =
        update { tables ->
            tables.updateUpstream(from.upstream) { if (it.registration.incarnation == from) change(it) else it }
        }

    private companion object {
        /** An upstream that leaves has terminated by then. */
        val LEAVING_MEMORY = 10.minutes
    }
}

/** Whether this incarnation of an upstream has said that it leaves; its registration may be late or come back. */
internal fun GatewayTables.isKnownToLeave(incarnation: UpstreamIncarnation): Boolean = incarnation in leavingUpstreams

/** Refuses [row] because all [members] of its service want no requests, until the first of them takes some again. */
internal fun GatewayStep.refuseWhileQuiet(row: RequestRow, members: List<UpstreamRow>, now: Timestamp): GatewayStep {
    val soonest = members.mapNotNull { it.quietUntil }.min()
    val detail = "all upstreams of ${row.service} want no requests for ${soonest - now}"
    return fail(row, ResultCode.NO_UPSTREAM, detail, soonest - now + returnSpread(row))
}

/** A delay that differs from request to request, so that their callers don't come back at the same time. */
private fun returnSpread(row: RequestRow): Duration =
    RendezvousHash.hashOf(row.call.id).mod(MAX_SPREAD_MILLIS).milliseconds

private const val MAX_SPREAD_MILLIS = 500L
