package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem

/** Deals with requests whose sidecar or caller is out of reach. */
class DisconnectSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { s, input ->
            when (input) {
                is EntryInput.LinkClosed -> linkClosed(s, input.instance)
                is EntryInput.CallerDisconnected -> callerGone(s, input.request)
                else -> s
            }
        }

    private fun linkClosed(step: EntryStep, instance: InstanceName): EntryStep =
        step.tables.requests.values
            .filter { (it.stage as? Stage.Dispatched)?.upstream == instance }
            .fold(step) { s, request -> s.retryOrRefuse(request, lostContact(instance)) }

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
