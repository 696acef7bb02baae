package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem

/** Passes answers on to callers, each only from the run that the request is waiting for. */
class AnswerSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { s, input ->
            val report = (input as? EntryInput.SidecarReportReceived)?.report
            if (report is SidecarReport.OfRun) ofRun(s, input.from, report) else s
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
            is SidecarReport.Failed -> step.retryOrRefuse(request, report.refusal)
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
            .emit(EntryEffect.SendAnswerChunk(request.call.id, report.data))
    }

    private fun done(step: EntryStep, request: Request, report: SidecarReport.Done): EntryStep {
        val delivery = request.delivery
        if (report.chunks != delivery.chunks) return broken(step, request, "expected ${report.chunks} pieces")
        val spent = report.usage?.total ?: (promptTokens(request) + delivery.tokens)
        return step
            .log(LogPart.ANSWER, "request ${request.call.id} of ${request.account} complete with $spent tokens")
            .emit(EntryEffect.CompleteAnswer(request.call.id))
            .remove(request, spent)
    }

    private fun broken(step: EntryStep, request: Request, detail: String): EntryStep =
        step.cancelRun(request).refuse(request, Refusal(ResultCode.ANSWER_BROKEN, Execution.RAN, detail))
}
