package org.ragwortbank.core.gateway

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.WorkKind
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/** Ends requests whose callers are gone or whose time is over, and those that can't be served in time. */
class CancellationSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val afterGone = tick.inputs.fold(step) { s, input ->
            if (input is GatewayInput.CallerDisconnected) gone(s, input.number) else s
        }
        val due = afterGone.tables.sweptAt?.let { tick.now - it >= afterGone.tables.settings.sweepInterval } ?: true
        return if (due) sweep(afterGone, tick.now) else afterGone
    }

    /** Work that may run once only goes on to its end, because breaking it off would leave its outcome unknown. */
    private fun gone(step: GatewayStep, number: RequestNumber): GatewayStep {
        val row = step.tables.requests[number] ?: return step
        val finishes = row.route.kind == WorkKind.ONCE && row.upstream != null
        val said = step.log(LogPart.ANSWER, "request ${row.call.id}: the caller disconnected")
        return if (finishes) said else said.abandon(row)
    }

    private fun GatewayStep.abandon(row: RequestRow): GatewayStep {
        val told = if (row.upstream == null) this else emit(GatewayEffect.CancelAttempt(row.number, row.attempts))
        return told
            .emit(GatewayEffect.RemoveRequest(row.number))
            .update { it.release(row).refund(row).drop(row.number) }
    }

    private fun sweep(step: GatewayStep, now: Timestamp): GatewayStep =
        step.tables.requests.values
            .fold(step) { s, row -> check(s, row, now) }
            .update { it.copy(sweptAt = now) }

    private fun check(step: GatewayStep, row: RequestRow, now: Timestamp): GatewayStep {
        val waited = now - row.arrivedAt
        val waits = row.stage is RequestStage.Waiting
        val patience = minOf(step.tables.settings.maxLoadWait, (row.endsBy - row.arrivedAt) * PATIENT_PART)
        val answerDue = if (row.upstream == null) row.endsBy else row.endsBy + ANSWER_GRACE
        return when {
            answerDue <= now -> expire(step, row)
            waits && waited > patience ->
                step.end(row, ResultCode.QUEUE_TIMEOUT, "no upstream could take it in $waited", RETRY_AFTER)
            else -> step
        }
    }

    private fun expire(step: GatewayStep, row: RequestRow): GatewayStep {
        val cancel = GatewayEffect.CancelAttempt(row.number, row.attempts)
        val running = if (row.upstream == null) step else step.emit(cancel)
        return running.end(row.ran(), ResultCode.DEADLINE_EXCEEDED, "no whole answer in time", null)
    }

    private companion object {
        /** Part of a request's time that it may spend waiting for an upstream. */
        const val PATIENT_PART = 0.5
        val RETRY_AFTER = 500.milliseconds

        /** An upstream that has used up its time says so itself, a moment later. */
        val ANSWER_GRACE = 100.milliseconds
    }
}
