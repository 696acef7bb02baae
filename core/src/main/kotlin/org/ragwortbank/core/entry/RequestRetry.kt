package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode

/** Retries [request] on another upstream if that is safe, and otherwise ends it with [refusal]. */
internal fun EntryStep.retryOrRefuse(request: Request, refusal: Refusal): EntryStep =
    if (mayRetry(tables, request, refusal)) retry(request, refusal) else refuse(request, refusal)

private fun mayRetry(tables: EntryTables, request: Request, refusal: Refusal): Boolean {
    val stage = request.stage
    val isCancelled = stage is Stage.Dispatched && stage.cancelled
    val isSafeToRepeat = refusal.execution == Execution.NOT_RUN || request.idempotent
    val hasAttemptsLeft = request.attempts < tables.settings.maxAttempts
    val isGrantValid = refusal.code != ResultCode.STALE_DISPATCH
    return isSafeToRepeat && hasAttemptsLeft && isGrantValid && !isCancelled && !request.delivery.started
}

private fun EntryStep.retry(request: Request, refusal: Refusal): EntryStep {
    val upstream = (request.stage as? Stage.Dispatched)?.upstream ?: return this
    val retried = request.copy(stage = Stage.Ready, triedUpstreams = request.triedUpstreams.add(upstream))
    val line = "request ${request.call.id} is retried after code ${refusal.code.number} from $upstream"
    return log(LogPart.ROUTING, line)
        .decrementOutstanding(request)
        .update { it.putRequest(retried).copy(readyRequests = it.readyRequests.add(request.call.id)) }
}
