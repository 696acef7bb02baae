package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem

/** Passes answers on to callers and retries elsewhere what may be retried. */
class AnswerSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { s, input ->
            when (input) {
                is EntryInput.SidecarSaid -> reported(s, input)
                is EntryInput.LinkClosed -> linkClosed(s, input.instance)
                is EntryInput.CallerGone -> callerGone(s, input.request)
                else -> s
            }
        }

    private fun reported(step: EntryStep, input: EntryInput.SidecarSaid): EntryStep =
        when (val report = input.report) {
            is SidecarReport.Digest -> step
            is SidecarReport.OfRun -> ofRun(step, input.from, report)
        }

    private fun ofRun(step: EntryStep, from: InstanceName, report: SidecarReport.OfRun): EntryStep {
        val request = step.tables.requests[report.run.request]
        val stage = request?.stage
        return when {
            stage !is Stage.Dispatched || stage.run != report.run || stage.upstream != from -> late(step, from, report)
            else -> apply(step, request, report)
        }
    }

    private fun late(step: EntryStep, from: InstanceName, report: SidecarReport.OfRun): EntryStep =
        when (report) {
            is SidecarReport.Chunk -> step
            else -> step.log(LogPart.ANSWER, "dropped a late report of run ${report.run} from $from")
        }

    private fun apply(step: EntryStep, request: Request, report: SidecarReport.OfRun): EntryStep =
        when (report) {
            is SidecarReport.Started -> started(step, request, report)
            is SidecarReport.Chunk -> chunk(step, request, report)
            is SidecarReport.Done -> done(step, request, report)
            is SidecarReport.Failed -> failed(step, request, report.refusal)
        }

    private fun started(step: EntryStep, request: Request, report: SidecarReport.Started): EntryStep =
        step
            .update { it.put(request.copy(delivery = request.delivery.copy(started = true))) }
            .emit(EntryEffect.BeginAnswer(request.call.id, report.head))

    private fun chunk(step: EntryStep, request: Request, report: SidecarReport.Chunk): EntryStep {
        val delivery = request.delivery
        if (report.index != delivery.chunks) return broken(step, request, "expected piece ${delivery.chunks}")
        val next = delivery.copy(chunks = delivery.chunks + 1, tokens = delivery.tokens + report.tokens)
        return step
            .update { it.put(request.copy(delivery = next)) }
            .emit(EntryEffect.ContinueAnswer(request.call.id, report.data))
    }

    private fun done(step: EntryStep, request: Request, report: SidecarReport.Done): EntryStep {
        val delivery = request.delivery
        if (report.chunks != delivery.chunks) return broken(step, request, "expected ${report.chunks} pieces")
        val spent = report.usage?.total ?: (promptTokens(request) + delivery.tokens)
        return step
            .log(LogPart.ANSWER, "request ${request.call.id} of ${request.account} complete with $spent tokens")
            .emit(EntryEffect.EndAnswer(request.call.id))
            .remove(request, spent)
    }

    private fun broken(step: EntryStep, request: Request, detail: String): EntryStep =
        step.cancelRun(request).refuse(request, Refusal(ResultCode.ANSWER_BROKEN, Execution.RAN, detail))

    private fun failed(step: EntryStep, request: Request, refusal: Refusal): EntryStep =
        when {
            mayRetry(step.tables, request, refusal.execution) -> retry(step, request, refusal)
            else -> step.refuse(request, refusal)
        }

    private fun mayRetry(tables: EntryTables, request: Request, execution: Execution): Boolean {
        val stage = request.stage
        val cancelled = stage is Stage.Dispatched && stage.cancelled
        val harmless = execution == Execution.NOT_RUN || request.idempotent
        val budget = request.attempts < tables.settings.maxAttempts
        return harmless && budget && !cancelled && !request.delivery.started
    }

    private fun retry(step: EntryStep, request: Request, refusal: Refusal): EntryStep {
        val upstream = (request.stage as? Stage.Dispatched)?.upstream ?: return step
        val again = request.copy(stage = Stage.Ready, tried = request.tried.add(upstream))
        return step
            .log(LogPart.ROUTING, "request ${request.call.id} is retried, $upstream answered ${refusal.code.number}")
            .leaveUpstream(request)
            .update { it.put(again).copy(ready = it.ready.add(request.call.id)) }
    }

    private fun linkClosed(step: EntryStep, instance: InstanceName): EntryStep =
        step.tables.requests.values
            .filter { (it.stage as? Stage.Dispatched)?.upstream == instance }
            .fold(step) { s, request -> failed(s, request, lostContact(instance)) }

    private fun lostContact(instance: InstanceName): Refusal =
        Refusal(ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, "the link to '$instance' broke after dispatch")

    private fun callerGone(step: EntryStep, id: RequestId): EntryStep {
        val request = step.tables.requests[id] ?: return step
        val spent = if (request.stage is Stage.Dispatched) promptTokens(request) + request.delivery.tokens else 0
        return step
            .log(LogPart.ANSWER, "caller of request $id is gone")
            .cancelRun(request)
            .remove(request, spent)
    }
}
