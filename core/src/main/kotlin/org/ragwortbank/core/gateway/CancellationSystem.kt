package org.ragwortbank.core.gateway

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.selection.AttemptOutcome
import org.ragwortbank.core.selection.UpstreamPolicy
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.RequestKind
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Cancels requests whose callers disconnected, and fails those past their deadline or their longest wait. */
class CancellationSystem(private val policy: UpstreamPolicy) : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val afterCancels = tick.inputs.fold(step) { current, input ->
            if (input is GatewayInput.CallerDisconnected) cancelIfSafe(current, input.number, tick.now) else current
        }
        val tables = afterCancels.tables
        val isSweepDue = tables.lastSweepAt?.let { tick.now - it >= tables.settings.sweepInterval } ?: true
        return if (isSweepDue) sweep(afterCancels, tick.now) else afterCancels
    }

    /** Non-repeatable work that was sent runs to completion, because canceling it would leave its outcome unknown. */
    private fun cancelIfSafe(step: GatewayStep, number: RequestNumber, now: Timestamp): GatewayStep {
        val row = step.tables.requests[number] ?: return step
        val mustFinish = row.route.kind == RequestKind.NON_IDEMPOTENT && row.upstream != null
        val age = (now - row.arrivedAt).inWholeMilliseconds
        val place = row.upstream?.let { "sent to $it" } ?: "not sent"
        val text = "request ${row.call.id}: the caller disconnected, $age ms after it arrived, $place"
        val logged = step.log(LogPart.ANSWER, text)
        return if (mustFinish) logged else logged.cancel(row, now)
    }

    private fun GatewayStep.cancel(row: RequestRow, now: Timestamp): GatewayStep {
        val cancel = GatewayEffect.CancelAttempt(row.number, row.attemptCount, CancelCause.CALLER_DISCONNECTED)
        val withCancel = if (row.upstream == null) this else emit(cancel)
        return withCancel
            .emit(GatewayEffect.RemoveRequest(row.number))
            .update { policy.recordOutcome(it, row, AttemptOutcome.Abandoned, now) }
            .update { it.releaseUpstream(row).refundTokens(row).remove(row.number) }
    }

    private fun sweep(step: GatewayStep, now: Timestamp): GatewayStep =
        step.tables.requests.values
            .fold(step) { current, row -> failIfDue(current, row, now) }
            .update { it.copy(lastSweepAt = now) }

    private fun failIfDue(step: GatewayStep, row: RequestRow, now: Timestamp): GatewayStep {
        val waited = now - row.arrivedAt
        val isWaiting = row.stage is RequestStage.Waiting
        val maxWait = maxWait(step.tables.settings, row)
        val answerDue = if (row.upstream == null) row.deadline else row.deadline + ANSWER_GRACE
        return when {
            answerDue <= now -> expire(step, row, now)
            step.tables.silentSince(row, now) != null -> step.backOff(row.upstream, now + SILENCE_BACKOFF)
            isWaiting && waited > maxWait ->
                step.fail(row, ResultCode.QUEUE_TIMEOUT, "no upstream available in $waited", RETRY_AFTER)
            else -> step
        }
    }

    /** Under pressure, what could still be served late is kept, and what can't is refused by its expected start. */
    private fun maxWait(settings: GatewaySettings, row: RequestRow): Duration {
        val share = (row.deadline - row.arrivedAt) * MAX_WAIT_SHARE
        return if (Feature.PRESSURE in settings.features) share else minOf(settings.maxLoadWait, share)
    }

    private fun expire(step: GatewayStep, row: RequestRow, now: Timestamp): GatewayStep {
        val cancel = GatewayEffect.CancelAttempt(row.number, row.attemptCount, CancelCause.DEADLINE)
        val withCancel = if (row.upstream == null) step else step.emit(cancel)
        val detail = "no complete answer before the deadline"
        return withCancel
            .update { policy.recordOutcome(it, row, AttemptOutcome.Expired, now) }
            .fail(row.markMayHaveRun(), ResultCode.DEADLINE_EXCEEDED, detail, null)
    }

    private companion object {
        /** Share of the time to its deadline that a request may spend waiting for an upstream. */
        const val MAX_WAIT_SHARE = 0.5
        val RETRY_AFTER = 500.milliseconds
        val SILENCE_BACKOFF = 500.milliseconds

        /** An upstream that reaches the deadline reports it in its own answer, which arrives a moment later. */
        val ANSWER_GRACE = 100.milliseconds
    }
}
