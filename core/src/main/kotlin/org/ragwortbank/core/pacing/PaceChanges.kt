package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp

/** Logs that the pace of [row] has a new phase in [after], with its cause. */
internal fun GatewayStep.logPaceChange(row: UpstreamRow, after: PaceRow): GatewayStep {
    val before = row.pace?.phase
    val isSilent = before == after.phase || (before == null && after.phase == PacePhase.FULL)
    return if (isSilent) this else log(LogPart.ROUTING, describePace(row, after, cause(row.pace, after)))
}

/** Lets the pace at [upstreams], which are used again after a time without requests, begin anew for [cause]. */
fun GatewayStep.restartPace(upstreams: Iterable<UpstreamId>, cause: String, now: Timestamp): GatewayStep =
    upstreams
        .mapNotNull { tables.upstreams[it] }
        .fold(this) { step, row -> step.restartPace(row, cause, now) }

private fun GatewayStep.restartPace(row: UpstreamRow, cause: String, now: Timestamp): GatewayStep {
    val restarted = row.pace?.restarted(startConditions(tables, row), now) ?: return this
    return log(LogPart.ROUTING, describePace(row, restarted, cause))
        .update { tables -> tables.updateUpstream(row.registration.id) { it.copy(pace = restarted) } }
}

private fun startConditions(tables: GatewayTables, row: UpstreamRow) =
    PaceConditions(slots = row.registration.slots, gateways = tables.gatewayCount, inFlight = row.inFlight)

private fun describePace(row: UpstreamRow, pace: PaceRow, cause: String): String {
    val limit = if (pace.phase == PacePhase.FULL) "" else " at %.2f of this gateway's requests".format(pace.limit)
    return "upstream ${row.registration.id} is at pace ${pace.phase.label}$limit: $cause"
}

private fun cause(before: PaceRow?, after: PaceRow): String =
    when {
        before == null -> "it has just started"
        after.phase == PacePhase.FULL -> "its limit was not met for a while and its answers began in time"
        else -> before.samples.lastOrNull { it !is PaceSample.Began }?.let(::describe) ?: "its answers begin late"
    }

private fun describe(sample: PaceSample): String =
    if (sample is PaceSample.Failed) "requests were lost there" else "it rejected requests or let them time out"
