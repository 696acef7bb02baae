package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem

/** Retries or refuses requests whose link to the sidecar closed, and cancels those whose caller disconnected. */
class DisconnectSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { acc, input ->
            when (input) {
                is EntryInput.LinkClosed -> retryRunsOf(acc, input.instance)
                is EntryInput.CallerDisconnected -> cancelRequest(acc, input.request)
                else -> acc
            }
        }

    private fun retryRunsOf(step: EntryStep, instance: InstanceName): EntryStep =
        step.tables.requests.values
            .filter { (it.stage as? Stage.Dispatched)?.upstream == instance }
            .fold(step) { acc, request -> acc.retryOrRefuse(request, linkLostRefusal(instance)) }

    private fun linkLostRefusal(instance: InstanceName): Refusal =
        Refusal(ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, "the link to '$instance' closed after dispatch")

    private fun cancelRequest(step: EntryStep, id: RequestId): EntryStep {
        val request = step.tables.requests[id] ?: return step
        val isDispatched = request.stage is Stage.Dispatched
        val consumed = if (isDispatched) promptTokens(request) + request.delivery.outputTokens else 0
        return step
            .log(LogPart.ANSWER, "the caller of request $id disconnected")
            .cancelRun(request)
            .removeRequest(request, consumed)
    }
}
