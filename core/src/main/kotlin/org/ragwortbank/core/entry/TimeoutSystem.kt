package org.ragwortbank.core.entry

import kotlinx.collections.immutable.plus
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Once per sweep interval, ends requests that have timed out and repeats messages that had no answer. */
class TimeoutSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep {
        val lastSweptAt = step.tables.sweptAt
        val isDue = lastSweptAt == null || tick.now - lastSweptAt >= step.tables.settings.sweepInterval
        return if (isDue) sweep(step, tick.now) else step
    }

    private fun sweep(step: EntryStep, now: Timestamp): EntryStep {
        val swept = step.tables.requests.values.fold(step) { acc, request -> checkTimeouts(acc, request, now) }
        return requeueUnanswered(swept, now).repeatBucketRequests().probeUnresponsiveOwners().update { tables ->
            val waiting = tables.credits.filterValues { it.pending == null }.keys
            tables.copy(sweptAt = now, accountsNeedingCredit = tables.accountsNeedingCredit + waiting)
        }
    }

    /** An unanswered credit request must not block the next one of the account. */
    private fun requeueUnanswered(step: EntryStep, now: Timestamp): EntryStep =
        step.tables.credits
            .filterValues { it.pending != null && now - it.pending.sentAt > step.tables.settings.grantLifetime }
            .keys
            .fold(step) { acc, account -> acc.requeueRequests(account) }

    private fun checkTimeouts(step: EntryStep, request: Request, now: Timestamp): EntryStep {
        val settings = step.tables.settings
        val age = now - request.receivedAt
        return when (val stage = request.stage) {
            Stage.AwaitingCredit ->
                if (age > settings.creditTimeout) refuse(step, request, ResultCode.LIMIT_UNAVAILABLE) else step
            is Stage.AwaitingClaim ->
                if (now - stage.since > settings.claimTimeout) refuseUndecidedClaim(step, request) else step
            Stage.Ready -> step
            is Stage.Dispatched -> checkRun(step, request, stage, now)
        }
    }

    private fun refuse(step: EntryStep, request: Request, code: ResultCode): EntryStep =
        step.refuse(request, Refusal.notRun(code))

    /** The key may have been recorded although no answer arrived, so it is released as if it had been. */
    private fun refuseUndecidedClaim(step: EntryStep, request: Request): EntryStep =
        refuse(step, request.copy(claimed = true), ResultCode.CLAIM_UNAVAILABLE)

    private fun checkRun(step: EntryStep, request: Request, stage: Stage.Dispatched, now: Timestamp): EntryStep {
        val settings = step.tables.settings
        val started = request.delivery.started
        val age = now - stage.dispatchedAt
        return when {
            stage.cancelled && age > settings.startTimeout + settings.claimTimeout ->
                refuseOutcomeUnknown(step, request)
            now - request.receivedAt > settings.requestTimeout -> refuseDeadlineExceeded(step, request)
            !started && !stage.cancelled && age > settings.startTimeout -> cancelRun(step, request, stage)
            else -> step
        }
    }

    private fun cancelRun(step: EntryStep, request: Request, stage: Stage.Dispatched): EntryStep =
        step
            .update { it.putRequest(request.copy(stage = stage.copy(cancelled = true))) }
            .emit(EntryEffect.SendToSidecar(stage.upstream, SidecarCommand.Cancel(stage.run)))

    private fun refuseOutcomeUnknown(step: EntryStep, request: Request): EntryStep =
        step.refuse(request, Refusal(ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN))

    private fun refuseDeadlineExceeded(step: EntryStep, request: Request): EntryStep {
        val execution = if (request.delivery.started) Execution.RAN else Execution.UNKNOWN
        return step.cancelRun(request).refuse(request, Refusal(ResultCode.DEADLINE_EXCEEDED, execution))
    }
}
