package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Stops the process: it admits requests during the drain grace, and stops when all are answered or at the time-out.
 *
 * A request that still waits when an answer would likely be cut off by the time-out is refused while it is true that it
 * has not run. What is under way at the time-out gets a final answer that says what is known of its outcome.
 */
class DrainSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val request = tick.inputs.firstNotNullOfOrNull { it as? GatewayInput.StopRequested }
        val isNew = request != null && step.tables.stoppingSince == null
        val draining = if (isNew) beginDrain(step, tick.now - request.requestedAgo) else step
        return if (draining.tables.isStopped) draining else drain(draining, tick.now)
    }

    private fun beginDrain(step: GatewayStep, requestedAt: Timestamp): GatewayStep =
        step
            .log(LogPart.DRAIN, "stop requested with ${describeWork(step.tables)}")
            .update { it.copy(stoppingSince = requestedAt) }

    private fun drain(step: GatewayStep, now: Timestamp): GatewayStep {
        val elapsed = step.tables.stoppingSince?.let { now - it } ?: return step
        val settings = step.tables.settings
        return when {
            elapsed > settings.drainTimeout -> stop(endAll(step))
            elapsed > settings.drainGrace && step.tables.isIdle -> stop(step)
            elapsed > settings.lastSendAfterStop -> refuseWaiting(step)
            else -> step
        }
    }

    private fun stop(step: GatewayStep): GatewayStep =
        step.update { it.copy(isStopped = true) }.emit(GatewayEffect.Stopped)

    private fun endAll(step: GatewayStep): GatewayStep {
        val logged = if (step.tables.isIdle) step else logEnd(step)
        return endSent(refuseWaiting(refuseDeferred(logged)))
    }

    private fun logEnd(step: GatewayStep): GatewayStep =
        step.log(LogPart.DRAIN, "the time for a stop is over with ${describeWork(step.tables)}")

    private fun refuseDeferred(step: GatewayStep): GatewayStep =
        step.tables.deferredCalls
            .fold(step) { current, call -> current.refuseWithoutRow(call.number, call.call.id, drainingRefusal) }
            .update { it.copy(deferredCalls = persistentListOf()) }

    private fun refuseWaiting(step: GatewayStep): GatewayStep =
        step.tables.waiting.mapNotNull { step.tables.requests[it] }.fold(step) { current, row ->
            current.fail(row, ResultCode.DRAINING, "the process stops before an answer", MIN_RETRY_AFTER)
        }

    private fun endSent(step: GatewayStep): GatewayStep =
        step.tables.requests.values.fold(step) { current, row ->
            current
                .emit(GatewayEffect.CancelAttempt(row.number, row.attemptCount, CancelCause.STOP))
                .fail(row.markMayHaveRun(), ResultCode.DRAINING, "the process stopped during the answer", null)
        }

    private fun describeWork(tables: GatewayTables): String =
        "${tables.requests.size} requests under way and ${tables.deferredCalls.size} deferred"

    private val GatewayTables.isIdle: Boolean get() = requests.isEmpty() && deferredCalls.isEmpty()

    private companion object {
        val drainingRefusal = Refusal.notRun(ResultCode.DRAINING, retryAfter = MIN_RETRY_AFTER)
    }
}
