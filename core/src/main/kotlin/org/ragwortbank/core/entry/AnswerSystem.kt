package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem

/** Forwards answers to callers, and drops reports of any run other than the current one of a request. */
class AnswerSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { acc, input ->
            val report = (input as? EntryInput.SidecarReportReceived)?.report
            if (report is SidecarReport.RunReport) handleRunReport(acc, input.from, report) else acc
        }

    private fun handleRunReport(step: EntryStep, from: InstanceName, report: SidecarReport.RunReport): EntryStep {
        val request = step.tables.requests[report.run.request]
        val stage = request?.stage
        return when {
            stage !is Stage.Dispatched || stage.run != report.run || stage.upstream != from ->
                dropLateReport(step, from, report)
            else -> applyReport(step, request, report)
        }
    }

    private fun dropLateReport(step: EntryStep, from: InstanceName, report: SidecarReport.RunReport): EntryStep =
        when (report) {
            is SidecarReport.Chunk -> step
            else -> step.log(LogPart.ANSWER, "ignored an outdated report of run ${report.run} from $from")
        }

    private fun applyReport(step: EntryStep, request: Request, report: SidecarReport.RunReport): EntryStep =
        when (report) {
            is SidecarReport.Started -> beginAnswer(step, request, report)
            is SidecarReport.Chunk -> forwardChunk(step, request, report)
            is SidecarReport.Completed -> completeAnswer(step, request, report)
            is SidecarReport.Failed -> step.retryOrRefuse(request, report.refusal)
        }

    private fun beginAnswer(step: EntryStep, request: Request, report: SidecarReport.Started): EntryStep =
        step
            .update { it.putRequest(request.copy(delivery = request.delivery.copy(started = true))) }
            .emit(EntryEffect.BeginAnswer(request.call.id, report.head))

    private fun forwardChunk(step: EntryStep, request: Request, report: SidecarReport.Chunk): EntryStep {
        val delivery = request.delivery
        val expected = delivery.chunksSent
        if (report.index != expected) {
            return refuseBrokenAnswer(step, request, "expected chunk $expected, got chunk ${report.index}")
        }
        val updated = delivery.copy(
            chunksSent = delivery.chunksSent + 1,
            outputTokens = delivery.outputTokens + report.tokens,
        )
        return step
            .update { it.putRequest(request.copy(delivery = updated)) }
            .emit(EntryEffect.SendAnswerChunk(request.call.id, report.data))
    }

    private fun completeAnswer(step: EntryStep, request: Request, report: SidecarReport.Completed): EntryStep {
        val delivery = request.delivery
        val expected = report.chunkCount
        if (expected != delivery.chunksSent) {
            return refuseBrokenAnswer(step, request, "expected $expected chunks, got ${delivery.chunksSent}")
        }
        val consumed = report.usage?.totalTokens ?: (promptTokens(request) + delivery.outputTokens)
        return step
            .log(LogPart.ANSWER, "request ${request.call.id} of ${request.account} completed with $consumed tokens")
            .emit(EntryEffect.CompleteAnswer(request.call.id))
            .removeRequest(request, consumed)
    }

    private fun refuseBrokenAnswer(step: EntryStep, request: Request, detail: String): EntryStep =
        step.cancelRun(request).refuse(request, Refusal(ResultCode.ANSWER_BROKEN, Execution.RAN, detail))
}
