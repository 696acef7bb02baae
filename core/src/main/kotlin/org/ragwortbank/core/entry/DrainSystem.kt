package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Drains the process: accepts requests for a grace period, completes them and hands the buckets over. */
class DrainSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep {
        val request = tick.inputs.firstNotNullOfOrNull { it as? EntryInput.StopRequested }
        val isNew = request != null && !step.tables.stopping
        val draining = if (isNew) beginDrain(step, tick.now - request.requestedAgo) else step
        return if (isDrained(draining.tables, tick.now)) endAll(draining).emit(EntryEffect.Stopped) else draining
    }

    /** Requests under way at the time-out get a final answer that says what is known of their outcome. */
    private fun endAll(step: EntryStep): EntryStep =
        step.tables.requests.values.fold(step) { current, request ->
            current.cancelRun(request).refuse(request, endOf(request))
        }

    private fun endOf(request: Request): Refusal =
        when {
            request.stage !is Stage.Dispatched -> Refusal.notRun(ResultCode.DRAINING)
            request.delivery.started -> Refusal(ResultCode.ANSWER_BROKEN, Execution.RAN)
            else -> Refusal(ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN)
        }

    private fun beginDrain(step: EntryStep, requestedAt: Timestamp): EntryStep =
        step
            .log(LogPart.DRAIN, "stop requested with ${step.tables.requests.size} requests under way")
            .update { it.copy(stoppingSince = requestedAt) }
            .emit(EntryEffect.ReadEpoch)

    private fun isDrained(tables: EntryTables, now: Timestamp): Boolean {
        val stoppingSince = tables.stoppingSince ?: return false
        val drainTime = now - stoppingSince
        val settings = tables.settings
        val isHandoverOver = tables.isOutsideEpoch() || drainTime > settings.drainGrace + settings.handoverTimeout
        return when {
            drainTime > settings.drainTimeout -> true
            else -> drainTime > settings.drainGrace && tables.requests.isEmpty() && isHandoverOver
        }
    }

    private fun EntryTables.isOutsideEpoch(): Boolean {
        val epoch = membership.epoch ?: return true
        return identity.member !in epoch.members && identity.member !in epoch.retired
    }
}
