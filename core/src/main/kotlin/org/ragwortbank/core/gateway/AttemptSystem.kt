package org.ragwortbank.core.gateway

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.selection.AttemptOutcome
import org.ragwortbank.core.selection.UpstreamPolicy
import org.ragwortbank.core.serving.RequestKind
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/** Handles the outcome of each attempt: relays the answer, retries or refuses. */
class AttemptSystem(private val policy: UpstreamPolicy) : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep =
        tick.inputs.fold(step) { current, input ->
            when (input) {
                is GatewayInput.AttemptNotSent ->
                    current.onAttempt(input.number, input.attempt) { handleNotSent(current, it, input, tick.now) }
                is GatewayInput.AttemptFailed ->
                    current.onAttempt(input.number, input.attempt) { handleLostAttempt(current, it, input, tick.now) }
                is GatewayInput.AnswerHeadReceived ->
                    current.onAttempt(input.number, input.attempt) { handleHead(current, it, input, tick.now) }
                is GatewayInput.AnswerCompleted ->
                    current.onAttempt(input.number, input.attempt) { complete(current, it, input.trace, tick.now) }
                else -> current
            }
        }

    private fun handleNotSent(
        step: GatewayStep,
        row: RequestRow,
        input: GatewayInput.AttemptNotSent,
        now: Timestamp,
    ): GatewayStep =
        step
            .log(LogPart.ROUTING, "request ${row.call.id} not sent to ${row.upstream}: ${input.cause}")
            .recordFailure(row.upstream, now)
            .observe(row, AttemptOutcome.NotSent, now)
            .update { it.requeueUnsent(row) }

    private fun handleLostAttempt(
        step: GatewayStep,
        row: RequestRow,
        input: GatewayInput.AttemptFailed,
        now: Timestamp,
    ): GatewayStep {
        val lossText = "request ${row.call.id} lost at ${row.upstream}: ${input.cause.detail}; ${row.describeLoss(now)}"
        val logged = step
            .log(LogPart.ROUTING, "$lossText; ${row.describeAttempt(input.trace)}, ${input.cause.label}")
            .recordFailure(row.upstream, now)
            .observe(row, AttemptOutcome.Lost, now)
        val possiblyRun = row.markMayHaveRun()
        val noAnswerSeen = row.stage is RequestStage.Sent
        val mayRepeat = noAnswerSeen && row.route.isRetryable && !logged.tables.isSuspect(row)
        val canRetry = mayRepeat && logged.tables.hasUntriedUpstream(possiblyRun, now)
        val detail = "attempt at upstream ${row.upstream} failed: ${input.cause.detail}"
        if (canRetry) return logged.retry(possiblyRun, detail)
        return logged.fail(possiblyRun, ResultCode.OUTCOME_UNKNOWN, detail, null)
    }

    private fun handleHead(
        step: GatewayStep,
        row: RequestRow,
        input: GatewayInput.AnswerHeadReceived,
        now: Timestamp,
    ): GatewayStep {
        val facts = input.facts
        val upstream = row.upstream ?: return step
        val sentAt = (row.stage as? RequestStage.Sent)?.sentAt ?: now
        val lost = step.tables.irregularAnswer(row, input)
        val updated = step.update { tables ->
            tables.updateUpstream(upstream) {
                it.copy(answeredAt = now).withReportedLoad(facts.load, now).withAnswer(facts)
            }
        }
        return when {
            lost != null -> {
                val cancelled = GatewayEffect.CancelAttempt(row.number, row.attemptCount, CancelCause.FAILED)
                handleLostAttempt(updated.emit(cancelled), row, lost, now)
            }
            facts.notRun -> handleRejection(updated, row, input, now)
            facts.status >= FIRST_SERVER_ERROR -> {
                val failed = AttemptOutcome.Failed(facts.status, now - sentAt)
                handleServerError(updated.observe(row, failed, now), row, input, now)
            }
            else ->
                updated
                    .update { it.recordSuccess(upstream, now - sentAt) }
                    .observe(row, AttemptOutcome.Began(now - sentAt), now)
                    .relayOrHold(row, input, now)
        }
    }

    private fun handleRejection(
        step: GatewayStep,
        row: RequestRow,
        input: GatewayInput.AnswerHeadReceived,
        now: Timestamp,
    ): GatewayStep {
        val facts = input.facts
        val rejectionText = "request ${row.call.id} rejected by ${row.upstream} with ${facts.status}, not run"
        val logged = step
            .log(LogPart.ROUTING, "$rejectionText; ${row.describeAttempt(input.trace)}")
            .observe(row, AttemptOutcome.Rejected(facts.status), now)
            .emit(GatewayEffect.CancelAttempt(row.number, row.attemptCount, CancelCause.REJECTED))
        val detail = "upstream ${row.upstream} answered ${facts.status}"
        val isAdapterMissing = facts.status == MISDIRECTED && row.call.adapterKey != null
        val recorded = when {
            isAdapterMissing -> logged.recordMissingAdapter(row)
            else -> logged.backOff(row.upstream, now + REJECTION_BACKOFF)
        }
        val isExhausted = row.attemptCount > row.route.maxAttempts + MAX_RESENDS
        if (isExhausted) return recorded.fail(row, ResultCode.NO_UPSTREAM, detail, RETRY_AFTER)
        return recorded.retry(row, detail)
    }

    private fun handleServerError(
        step: GatewayStep,
        row: RequestRow,
        input: GatewayInput.AnswerHeadReceived,
        now: Timestamp,
    ): GatewayStep {
        val facts = input.facts
        val possiblyRun = row.markMayHaveRun()
        val canRetry = row.route.kind == RequestKind.IDEMPOTENT && step.tables.hasUntriedUpstream(possiblyRun, now)
        if (!canRetry) return step.relay(row, input, now)
        val failureText = "request ${row.call.id} failed at ${row.upstream} with ${facts.status}"
        return step
            .log(LogPart.ROUTING, "$failureText; ${row.describeAttempt(input.trace)}, tried elsewhere")
            .emit(GatewayEffect.CancelAttempt(row.number, row.attemptCount, CancelCause.FAILED))
            .retry(possiblyRun, "upstream ${row.upstream} answered ${facts.status}")
    }

    private fun complete(step: GatewayStep, row: RequestRow, trace: ExchangeTrace?, now: Timestamp): GatewayStep {
        val beganAt = (row.stage as? RequestStage.Relaying)?.beganAt ?: now
        val endText = "request ${row.call.id} passed on from ${row.upstream}; ${row.describeAttempt(trace)}"
        return step
            .log(LogPart.ANSWER, endText)
            .observe(row, AttemptOutcome.Completed(now - beganAt), now)
            .emit(GatewayEffect.RemoveRequest(row.number))
            .update { it.releaseUpstream(row).remove(row.number) }
    }

    private fun GatewayStep.observe(row: RequestRow, outcome: AttemptOutcome, now: Timestamp): GatewayStep =
        update { policy.recordOutcome(it, row, outcome, now) }

    private fun GatewayStep.retry(row: RequestRow, detail: String): GatewayStep {
        val exhausted = "$detail; retry budget of ${row.service} is used up"
        val budget = tables.retries[row.service]?.spend()
            ?: return fail(row, ResultCode.NO_UPSTREAM, exhausted, RETRY_AFTER)
        return update { it.copy(retries = it.retries.put(row.service, budget)).requeue(row) }
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
        const val MISDIRECTED = 421

        /** Sends allowed beyond the route's attempts, for those that the same upstream rejected. */
        const val MAX_RESENDS = 2
        val REJECTION_BACKOFF = 100.milliseconds
        val RETRY_AFTER = 500.milliseconds
    }
}

/** Applies [decide] to the request whose present attempt this is; unchanged for an earlier attempt. */
private fun GatewayStep.onAttempt(
    number: RequestNumber,
    attempt: Int,
    decide: (RequestRow) -> GatewayStep,
): GatewayStep {
    val row = tables.requests[number]?.takeIf { it.attemptCount == attempt && it.upstream != null }
    return if (row == null) this else decide(row)
}
