package org.ragwortbank.core.gateway

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.core.versions.holdOf
import org.ragwortbank.core.versions.noteBegun
import org.ragwortbank.core.versions.updateVersions

/** Passes on the answer of [row] that [head] begins, at once or when nothing holds it any more. */
internal fun GatewayStep.relayOrHold(
    row: RequestRow,
    head: GatewayInput.AnswerHeadReceived,
    now: Timestamp,
): GatewayStep {
    val held = HeldHead(head, now)
    val hold = tables.holdOf(row, held) ?: return relay(row, head, now)
    return log(LogPart.ANSWER, "request ${row.call.id} answered by ${row.upstream}, held: ${hold.label}")
        .update { it.put(row.copy(heldHead = held)) }
        .updateVersions { it.copy(held = it.held.add(row.number)) }
}

/** Passes on the answer of [row] that [head] begins. */
internal fun GatewayStep.relay(
    row: RequestRow,
    head: GatewayInput.AnswerHeadReceived,
    now: Timestamp,
): GatewayStep {
    val upstream = row.upstream ?: return this
    val relaying = row.markMayHaveRun().copy(stage = RequestStage.Relaying(upstream, now), heldHead = null)
    val answerText = "request ${row.call.id} answered by $upstream with ${head.facts.status}"
    return log(LogPart.ANSWER, "$answerText; ${row.describeAttempt(head.trace)}")
        .emit(GatewayEffect.Relay(row.number, row.attemptCount))
        .update { it.put(relaying).noteBegun(relaying, now) }
}
