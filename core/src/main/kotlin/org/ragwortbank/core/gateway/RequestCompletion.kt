package org.ragwortbank.core.gateway

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.RequestNumber
import kotlin.time.Duration

/** Fails [row] with [code] as not run if no upstream may have begun it, otherwise with an unknown outcome. */
internal fun GatewayStep.fail(row: RequestRow, code: ResultCode, detail: String, retryAfter: Duration?): GatewayStep {
    val refusal = when {
        row.stage is RequestStage.Relaying -> Refusal(ResultCode.ANSWER_BROKEN, Execution.RAN, detail)
        row.mayHaveRun && code == ResultCode.DEADLINE_EXCEEDED -> Refusal(code, Execution.UNKNOWN, detail)
        row.mayHaveRun -> Refusal(ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, detail)
        else -> Refusal.notRun(code, detail, retryAfter)
    }
    return refuseOrAbort(row, refusal)
}

private fun GatewayStep.refuseOrAbort(row: RequestRow, refusal: Refusal): GatewayStep {
    val effect = when (row.stage) {
        is RequestStage.Relaying -> GatewayEffect.AbortAnswer(row.number, refusal)
        else -> GatewayEffect.Refuse(row.number, refusal)
    }
    return logRefusal(row.call.id, refusal)
        .emit(effect)
        .update { it.releaseUpstream(row).refundTokens(row).remove(row.number) }
}

/** Refuses [row], which waits and has not run, with [refusal]. */
internal fun GatewayStep.refuseWaiting(row: RequestRow, refusal: Refusal): GatewayStep = refuseOrAbort(row, refusal)

/** Refuses a request that has no row in the tables. */
internal fun GatewayStep.refuseWithoutRow(number: RequestNumber, id: String, refusal: Refusal): GatewayStep =
    logRefusal(id, refusal).emit(GatewayEffect.Refuse(number, refusal))

private fun GatewayStep.logRefusal(id: String, refusal: Refusal): GatewayStep =
    log(LogPart.ANSWER, "request $id: ${describe(refusal)}")

private fun describe(refusal: Refusal): String =
    "${refusal.code.number} ${refusal.code}, ${refusal.execution.label}: ${refusal.detail}"

/** The tables with [row] no longer counted at its upstream, if it has one. */
internal fun GatewayTables.releaseUpstream(row: RequestRow): GatewayTables {
    val upstream = row.upstream ?: return this
    return updateUpstream(upstream) { it.withRequestCompleted(row.call.adapterKey, row.call.tokens ?: 0) }
}

/** The tables with the tokens of [row] returned to its account, if it has certainly not run. */
internal fun GatewayTables.refundTokens(row: RequestRow): GatewayTables {
    val account = row.account?.takeIf { !row.mayHaveRun && row.tokens > 0 }
    val bucket = account?.let { buckets[it] }
    if (account == null || bucket == null || isRefilledSince(row, bucket)) return this
    return copy(buckets = buckets.put(account, bucket.consume(-row.tokens)))
}

/** Whether what [row] took has been refilled: returned as well, it would exceed the rate. */
private fun GatewayTables.isRefilledSince(row: RequestRow, bucket: FleetBucket): Boolean =
    Feature.PRESSURE in settings.features && bucket.fullAt?.let { it > row.arrivedAt } ?: false

/** Queues [row] again for its next attempt. */
internal fun GatewayTables.requeue(row: RequestRow): GatewayTables =
    releaseUpstream(row).put(row.copy(stage = RequestStage.Waiting(), heldHead = null))
