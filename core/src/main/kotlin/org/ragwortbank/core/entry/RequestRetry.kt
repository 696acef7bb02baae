package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode

/** Sends [request] to another upstream where that does no harm, and otherwise refuses it with [refusal]. */
internal fun EntryStep.retryOrRefuse(request: Request, refusal: Refusal): EntryStep =
    if (mayRetry(tables, request, refusal)) retry(request, refusal) else refuse(request, refusal)

private fun mayRetry(tables: EntryTables, request: Request, refusal: Refusal): Boolean {
    val stage = request.stage
    val cancelled = stage is Stage.Dispatched && stage.cancelled
    val harmless = refusal.execution == Execution.NOT_RUN || request.idempotent
    val withinBudget = request.attempts < tables.settings.maxAttempts
    val tokensCount = refusal.code != ResultCode.STALE_DISPATCH
    return harmless && withinBudget && tokensCount && !cancelled && !request.delivery.started
}

private fun EntryStep.retry(request: Request, refusal: Refusal): EntryStep {
    val upstream = (request.stage as? Stage.Dispatched)?.upstream ?: return this
    val again = request.copy(stage = Stage.Ready, triedUpstreams = request.triedUpstreams.add(upstream))
    return log(LogPart.ROUTING, "request ${request.call.id} is retried, $upstream answered ${refusal.code.number}")
        .decrementOutstanding(request)
        .update { it.putRequest(again).copy(readyRequests = it.readyRequests.add(request.call.id)) }
}
