package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal

/** Adds a log effect. */
internal fun EntryStep.log(part: LogPart, message: String): EntryStep = emit(EntryEffect.Log(LogLine(part, message)))

/** Ends [request] with [refusal] and settles its tokens and its idempotency key. */
internal fun EntryStep.refuse(request: Request, refusal: Refusal): EntryStep {
    val call = request.call
    val line = "request ${call.id} of ${request.account} on ${call.route} refused: " +
        "${refusal.code.number} ${refusal.code}, ${refusal.execution.label}"
    return log(LogPart.ANSWER, line)
        .emit(EntryEffect.Refuse(call.id, refusal))
        .releaseClaim(request, refusal.execution)
        .removeRequest(request, consumedTokens(request, refusal.execution))
}

/** Cancels the run of [request], if it was dispatched. */
internal fun EntryStep.cancelRun(request: Request): EntryStep =
    when (val stage = request.stage) {
        is Stage.Dispatched -> emit(EntryEffect.SendToSidecar(stage.upstream, SidecarCommand.Cancel(stage.run)))
        else -> this
    }

/** Removes the row of [request] and settles the difference between reserved and [consumed] tokens with the owner. */
internal fun EntryStep.removeRequest(request: Request, consumed: Long): EntryStep =
    update { it.copy(requests = it.requests.remove(request.call.id)) }
        .decrementOutstanding(request)
        .settleCredit(request, consumed)

/** Removes [request] from the outstanding requests of its upstream. */
internal fun EntryStep.decrementOutstanding(request: Request): EntryStep {
    val stage = request.stage as? Stage.Dispatched ?: return this
    return update { tables ->
        tables.updateUpstream(stage.upstream) { it.copy(outstanding = (it.outstanding - 1).coerceAtLeast(0)) }
    }
}

private fun EntryStep.settleCredit(request: Request, consumed: Long): EntryStep {
    val grantOrigin = request.grantOrigin
    val unused = request.reservedTokens - consumed
    val owner = ownerOf(tables, request.account)
    return when {
        grantOrigin == null || unused == 0L || owner == null -> this
        else -> emit(EntryEffect.SendToEntry(owner, EntryMessage.CreditReturn(request.account, unused, grantOrigin)))
    }
}

private fun EntryStep.releaseClaim(request: Request, execution: Execution): EntryStep {
    val key = request.call.idempotencyKey
    return when {
        key == null || !request.claimed || execution != Execution.NOT_RUN -> this
        else -> emit(EntryEffect.ReleaseClaim(request.call.id, request.account, key))
    }
}

private fun consumedTokens(request: Request, execution: Execution): Long =
    when (execution) {
        Execution.NOT_RUN -> 0
        Execution.RAN -> promptTokens(request) + request.delivery.outputTokens
        Execution.UNKNOWN -> request.reservedTokens
    }
