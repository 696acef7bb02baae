package org.ragwortbank.core.gateway

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/** Sends each waiting request to the upstream with the smallest expected delay, or wishes for its adapter there. */
class RoutingSystem(private val cost: UpstreamCost) : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep =
        if (step.tables.listens(tick.now)) step else routeAll(step, tick.now)

    private fun routeAll(step: GatewayStep, now: Timestamp): GatewayStep =
        step.tables.waiting
            .mapNotNull { step.tables.requests[it] }
            .filter { it.endsBy > now }
            .sortedBy { it.priority }
            .fold(step) { s, row -> route(s, row, now) }

    private fun route(step: GatewayStep, row: RequestRow, now: Timestamp): GatewayStep {
        val members = step.tables.upstreamsByService[row.service].orEmpty()
            .mapNotNull { step.tables.upstreams[it] }
            .filter { it.isAccepting && row.mayTry(it.registration.id) }
        val available = members.filter { it.isAvailable(now) && it.hasModelFor(row) }
        val best = available.map { cost.estimate(step.tables, row, it, now) }.minByOrNull { it.millis }
        return when {
            best != null -> place(step.update { it.clearModelMissing(row.service) }, row, best, now)
            members.any { it.hasModelFor(row) } -> step
            step.tables.isModelLoading(row, members) -> step.refuseWhileModelLoads(row, now)
            else -> step.end(row, ResultCode.NO_UPSTREAM, noneLeft(row), RETRY_AFTER)
        }
    }

    private fun noneLeft(row: RequestRow): String = "${row.service} has none with it, tried ${row.tried}"

    private fun place(step: GatewayStep, row: RequestRow, best: Candidate, now: Timestamp): GatewayStep =
        if (best.state.usable) send(step, row, best, now) else wish(step, row, best, now)

    private fun wish(step: GatewayStep, row: RequestRow, best: Candidate, now: Timestamp): GatewayStep {
        val id = best.row.registration.id
        val stage = row.stage as? RequestStage.Waiting
        if (stage?.wish == id) return step
        val wanted = "waits for ${row.call.adapterKey} at $id, ${best.state}"
        return step
            .log(LogPart.PLACEMENT, "request ${row.call.id} $wanted, ${describe(best, now)}")
            .update { it.put(row.copy(stage = RequestStage.Waiting(id, now))) }
    }

    private fun send(step: GatewayStep, row: RequestRow, best: Candidate, now: Timestamp): GatewayStep {
        val registration = best.row.registration
        val sent = row.copy(
            stage = RequestStage.Sent(registration.id, now),
            attempts = row.attempts + 1,
            tried = row.tried.add(registration.id),
        )
        val named = row.call.adapterKey?.let { step.tables.versions[it] }
        val attempt = UpstreamAttempt(
            number = row.number,
            attemptNumber = sent.attempts,
            upstream = registration.id,
            endpoint = registration.endpoint,
            account = row.account,
            priority = row.priority,
            adapterVersion = named?.version?.takeIf { best.state == AdapterState.PRESENT },
            deadline = row.endsBy,
        )
        val attemptText = "attempt ${sent.attempts} to ${registration.id}"
        return step
            .log(LogPart.ROUTING, "request ${row.call.id} $attemptText, ${describe(best, now)}")
            .emit(GatewayEffect.Send(attempt))
            .update { it.put(sent).updateUpstream(registration.id) { u -> u.withRequestSent(row.call.adapterKey) } }
            .update { if (sent.attempts == 1) it.earnRetry(sent) else it }
    }

    private fun describe(best: Candidate, now: Timestamp): String {
        val age = best.row.loadReportedAt?.let { "${(now - it).inWholeMilliseconds} ms old" } ?: "none"
        return "expected ${best.millis.toInt()} ms, load ${best.row.load}, load told $age"
    }

    private fun GatewayTables.earnRetry(row: RequestRow): GatewayTables {
        val most = settings.retrySlack * OWN_PART / gatewayCount
        val budget = retries[row.service] ?: RetryBudget(most)
        val earned = budget.afterFirstSend(settings.retryRatio * OWN_PART, most)
        return copy(retries = retries.put(row.service, earned))
    }

    private companion object {
        /** Part of the fleet's budget that all entries use together; the rest covers what they learn late. */
        const val OWN_PART = 0.8
        val RETRY_AFTER = 500.milliseconds
    }
}
