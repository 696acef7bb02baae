package org.ragwortbank.core.gateway

import org.ragwortbank.core.admission.DeadlineAdmission
import org.ragwortbank.core.admission.OrderUnderPressure
import org.ragwortbank.core.admission.StartAdmission
import org.ragwortbank.core.admission.WaitOrder
import org.ragwortbank.core.eligibility.ExclusionReason
import org.ragwortbank.core.locality.describePlaces
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.selection.Candidate
import org.ragwortbank.core.selection.Selection
import org.ragwortbank.core.selection.SelectionContext
import org.ragwortbank.core.selection.UpstreamPolicy
import org.ragwortbank.core.speed.describeSpeed
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.core.versions.isVersionGone
import org.ragwortbank.core.versions.waitForVersion
import org.ragwortbank.core.versions.withStreamSent
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Sends each waiting request to the upstream that [policy] selects, or requests a load there. */
class RoutingSystem(
    private val policy: UpstreamPolicy,
    private val order: WaitOrder = OrderUnderPressure(),
    private val admission: StartAdmission = DeadlineAdmission(),
) : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep =
        if (step.tables.isCatchingUp(tick.now)) step else routeAll(step, tick)

    /** Requests that wait for a load are compared with all upstreams again after a digest, or after a while. */
    private fun routeAll(step: GatewayStep, tick: Tick<GatewayInput>): GatewayStep {
        val now = tick.now
        if (step.tables.waiting.isEmpty()) return step
        val isRetryDue = step.tables.retriedAt?.let { now - it >= RETRY_INTERVAL } ?: true ||
            tick.inputs.any { it is GatewayInput.EngineDigestReceived }
        val due = step.tables.waiting
            .mapNotNull { step.tables.requests[it] }
            .filter { it.deadline > now && (isRetryDue || it.loadingUpstream == null) }
        return order.sorted(step.tables, due, now)
            .fold(step) { result, row -> route(result, row, now) }
            .update { if (isRetryDue) it.copy(retriedAt = now) else it }
    }

    private fun route(step: GatewayStep, row: RequestRow, now: Timestamp): GatewayStep {
        val context = SelectionContext(step.tables, row, now)
        val selection = policy.select(context)
        val best = selection.best?.let { stayIfAlike(row, it, selection.candidates, now) }
        val refusal = best?.let { admission.refusalOf(context, selection.candidates) }
        return when {
            best == null -> waitOrRefuse(step, row, selection, now)
            refusal != null -> step.refuseWaiting(row, refusal)
            else -> sendOrRequestLoad(step.update { it.clearModelMissing(row.service) }, row, best, now)
        }
    }

    /** Waits while an upstream may serve the request later, and refuses it otherwise. */
    private fun waitOrRefuse(step: GatewayStep, row: RequestRow, selection: Selection, now: Timestamp): GatewayStep {
        val members = selection.members
        val rows = members.map { it.row }
        return when {
            row.isTakeUp && row.version != null && step.tables.isVersionGone(row) ->
                step.fail(row, ResultCode.VERSION_GONE, "no upstream of ${row.service} at ${row.version}", null)
            members.isNotEmpty() && members.all { ExclusionReason.VERSION_UNDECIDED in it.reasons } ->
                step.waitForVersion(row, now)
            members.isNotEmpty() && members.all { ExclusionReason.QUIET in it.reasons } ->
                step.refuseWhileQuiet(row, rows, now)
            members.any { ExclusionReason.MODEL_MISSING !in it.reasons } -> step
            step.tables.isModelLoading(row, rows) -> step.refuseWhileModelLoads(row, now)
            else -> step.fail(row, ResultCode.NO_UPSTREAM, noUpstreamDetail(step.tables, row), RETRY_AFTER)
        }
    }

    /**
     * Stays with the upstream that was asked for the load unless the adapter is available or loading at [best], or the
     * load has not begun for long and [best] is much better: what is asked for in two places may be loaded in both.
     */
    private fun stayIfAlike(row: RequestRow, best: Candidate, candidates: List<Candidate>, now: Timestamp): Candidate {
        val asked = candidates.firstOrNull { it.row.registration.id == row.loadingUpstream }
        val askedAt = (row.stage as? RequestStage.Waiting)?.loadRequestedAt
        return when {
            asked == null || askedAt == null -> best
            best.state.isUsable || best.state == AdapterState.LOADING -> best
            now - askedAt < MIN_STAY || best.expectedMillis + MIN_SWITCH_GAIN_MILLIS > asked.expectedMillis -> asked
            else -> best
        }
    }

    private fun noUpstreamDetail(tables: GatewayTables, row: RequestRow): String =
        "no upstream of ${row.service} can run it, tried ${row.triedUpstreams}" + tables.describePlaces(row)

    private fun sendOrRequestLoad(step: GatewayStep, row: RequestRow, best: Candidate, now: Timestamp): GatewayStep =
        if (best.state.isUsable) send(step, row, best, now) else requestLoad(step, row, best, now)

    private fun requestLoad(step: GatewayStep, row: RequestRow, best: Candidate, now: Timestamp): GatewayStep {
        val id = best.row.registration.id
        if (row.loadingUpstream == id) return step
        val waitText = "waits for ${row.call.adapterKey} at $id, ${best.state.label}"
        return step
            .log(LogPart.PLACEMENT, "request ${row.call.id} $waitText, ${describe(best, now)}")
            .update { it.put(row.copy(stage = RequestStage.Waiting(id, now))) }
    }

    private fun send(step: GatewayStep, row: RequestRow, best: Candidate, now: Timestamp): GatewayStep {
        val registration = best.row.registration
        val sent = row.copy(
            stage = RequestStage.Sent(registration.id, now),
            attemptCount = row.attemptCount + 1,
            triedUpstreams = row.triedUpstreams.add(registration.id),
        )
        val newest = row.call.adapterKey?.let { step.tables.versions[it] }
        val attempt = UpstreamAttempt(
            number = row.number,
            attemptNumber = sent.attemptCount,
            upstream = registration.id,
            startedMillis = registration.startedMillis,
            endpoint = registration.endpoint,
            account = row.account,
            priority = row.priority,
            adapterVersion = newest?.version?.takeIf { best.state == AdapterState.RESIDENT },
            deadline = row.deadline,
        )
        val attemptText = "attempt ${sent.attemptCount} to ${registration.id}"
        return step
            .log(LogPart.ROUTING, "request ${row.call.id} $attemptText, ${describe(best, now)}")
            .emit(GatewayEffect.Send(attempt))
            .update { tables ->
                tables.put(sent).updateUpstream(registration.id) {
                    it.withRequestSent(row.call.adapterKey, row.call.tokens ?: 0)
                }
            }
            .update { policy.recordSent(it, registration.id, sent, now) }
            .update { it.withStreamSent(sent, registration) }
            .update { if (sent.attemptCount == 1) it.addRetryCredit(sent) else it }
    }

    private fun describe(best: Candidate, now: Timestamp): String {
        val age = best.row.loadReportedAt?.let { "${(now - it).inWholeMilliseconds} ms old" } ?: "none"
        val expectedText = "expected ${best.expectedMillis.toInt()} ms, load ${best.row.load}, reported load $age"
        return expectedText + best.row.describeSpeed(now)
    }

    private companion object {
        val RETRY_AFTER = 500.milliseconds
        val RETRY_INTERVAL = 40.milliseconds
        const val MIN_SWITCH_GAIN_MILLIS = 500.0
        val MIN_STAY = 1.seconds
    }
}
