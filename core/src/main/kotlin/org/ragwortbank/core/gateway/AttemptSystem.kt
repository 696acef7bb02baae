package org.ragwortbank.core.gateway

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.WorkKind
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/** Decides on what became of a send: pass the answer on, try again, or refuse. */
class AttemptSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep =
        tick.inputs.fold(step) { s, input ->
            when (input) {
                is GatewayInput.AttemptNotSent ->
                    s.onAttempt(input.number, input.attempt) { notSent(s, it, input, tick.now) }
                is GatewayInput.AttemptFailed ->
                    s.onAttempt(input.number, input.attempt) { broke(s, it, input, tick.now) }
                is GatewayInput.AnswerHeadReceived ->
                    s.onAttempt(input.number, input.attempt) { head(s, it, input, tick.now) }
                is GatewayInput.AnswerCompleted -> s.onAttempt(input.number, input.attempt) { ended(s, it) }
                else -> s
            }
        }

    private fun GatewayStep.onAttempt(
        number: RequestNumber,
        attempt: Int,
        decide: (RequestRow) -> GatewayStep,
    ): GatewayStep {
        val row = tables.requests[number]?.takeIf { it.attempts == attempt && it.upstream != null }
        return if (row == null) this else decide(row)
    }

    private fun notSent(
        step: GatewayStep,
        row: RequestRow,
        input: GatewayInput.AttemptNotSent,
        now: Timestamp,
    ): GatewayStep =
        step
            .log(LogPart.ROUTING, "request ${row.call.id} not sent to ${row.upstream}: ${input.cause}")
            .blame(row.upstream, now)
            .update { it.waitUntried(row) }

    private fun broke(
        step: GatewayStep,
        row: RequestRow,
        input: GatewayInput.AttemptFailed,
        now: Timestamp,
    ): GatewayStep {
        val said = step
            .log(LogPart.ROUTING, "request ${row.call.id} lost at ${row.upstream}: ${input.cause}")
            .blame(row.upstream, now)
        val ran = row.ran()
        val retry = row.stage is RequestStage.Sent && row.route.repeatable && said.tables.hasOther(ran, now)
        val detail = "upstream ${row.upstream} broke off: ${input.cause}"
        return if (retry) said.tryAgain(ran, detail) else said.end(ran, ResultCode.OUTCOME_UNKNOWN, detail, null)
    }

    private fun head(
        step: GatewayStep,
        row: RequestRow,
        input: GatewayInput.AnswerHeadReceived,
        now: Timestamp,
    ): GatewayStep {
        val facts = input.facts
        val upstream = row.upstream ?: return step
        val sentAt = (row.stage as? RequestStage.Sent)?.at ?: now
        val told = step.update { tables ->
            tables.updateUpstream(upstream) { u -> facts.load?.let { u.withReportedLoad(it, now) } ?: u }
        }
        return when {
            facts.notRun -> rejected(told, row, facts, now)
            facts.status >= FIRST_FAILURE -> failed(told, row, facts, now)
            else -> told.update { it.praise(upstream, now - sentAt) }.relay(row, facts)
        }
    }

    private fun rejected(step: GatewayStep, row: RequestRow, facts: AnswerFacts, now: Timestamp): GatewayStep {
        val said = step
            .log(LogPart.ROUTING, "request ${row.call.id} rejected by ${row.upstream} with ${facts.status}, not run")
            .emit(GatewayEffect.CancelAttempt(row.number, row.attempts))
        val detail = "upstream ${row.upstream} answered ${facts.status}"
        val absent = facts.status == MISDIRECTED && row.call.adapterKey != null
        val noted = if (absent) said.missing(row) else said.avoid(row.upstream, now + REJECTED_PAUSE)
        val spent = row.attempts > row.route.maxAttempts + MAX_RESENDS
        return if (spent) noted.end(row, ResultCode.NO_UPSTREAM, detail, RETRY_AFTER) else noted.tryAgain(row, detail)
    }

    private fun failed(step: GatewayStep, row: RequestRow, facts: AnswerFacts, now: Timestamp): GatewayStep {
        val ran = row.ran()
        val retry = row.route.kind == WorkKind.IDEMPOTENT && step.tables.hasOther(ran, now)
        if (!retry) return step.relay(row, facts)
        return step
            .log(LogPart.ROUTING, "request ${row.call.id} failed at ${row.upstream} with ${facts.status}")
            .emit(GatewayEffect.CancelAttempt(row.number, row.attempts))
            .tryAgain(ran, "upstream ${row.upstream} answered ${facts.status}")
    }

    private fun GatewayStep.relay(row: RequestRow, facts: AnswerFacts): GatewayStep {
        val upstream = row.upstream ?: return this
        return log(LogPart.ANSWER, "request ${row.call.id} answered by $upstream with ${facts.status}")
            .emit(GatewayEffect.Relay(row.number, row.attempts))
            .update { it.put(row.ran().copy(stage = RequestStage.Relaying(upstream))) }
    }

    private fun ended(step: GatewayStep, row: RequestRow): GatewayStep =
        step.emit(GatewayEffect.RemoveRequest(row.number)).update { it.release(row).drop(row.number) }

    private fun GatewayStep.tryAgain(row: RequestRow, detail: String): GatewayStep {
        val rest = tables.retries[row.service]?.spend()
            ?: return end(row, ResultCode.NO_UPSTREAM, "$detail; no retries are left", RETRY_AFTER)
        return update { it.copy(retries = it.retries.put(row.service, rest)).waitAgain(row) }
    }

    private companion object {
        const val FIRST_FAILURE = 500
        const val MISDIRECTED = 421

        /** Sends beyond the route's attempts that the same upstream rejected. */
        const val MAX_RESENDS = 2
        val REJECTED_PAUSE = 100.milliseconds
        val RETRY_AFTER = 500.milliseconds
    }
}
