package org.ragwortbank.core.versions

import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.gateway.CancelCause
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.HeldHead
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.fail
import org.ragwortbank.core.gateway.relay
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Passes on the answers that were held as soon as nothing holds them, and gives up those of another version. */
class HeldAnswerSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val held = step.tables.streamVersions.held
        if (held.isEmpty()) return step
        val reviewed = held.fold(step) { current, number ->
            val row = current.tables.requests[number]
            val head = row?.heldHead
            if (row == null || head == null) current else review(current, row, head, tick.now)
        }
        val left = held.filter { reviewed.tables.requests[it]?.heldHead != null }.toPersistentSet()
        return askForRead(reviewed.updateVersions { it.copy(held = left) }, tick.now)
    }

    private fun review(step: GatewayStep, row: RequestRow, held: HeldHead, now: Timestamp): GatewayStep =
        when (step.tables.holdOf(row, held)) {
            null -> step.relay(row, held.head, now)
            AnswerHold.OTHER_VERSION -> giveUp(step, row, "not ${row.sentTo?.version} any more")
            AnswerHold.RECORD, AnswerHold.DOUBT -> {
                val isTooLong = now - held.receivedAt > VersionTimes.MAX_UNDECIDED
                if (isTooLong) giveUp(step, row, "which the store hasn't told in time") else step
            }
        }

    /** A caller leaves a stream whose first event takes longer; it can begin another one sooner. */
    private fun giveUp(step: GatewayStep, row: RequestRow, reason: String): GatewayStep {
        val detail = "the version of upstream ${row.upstream} that the stream begins at, $reason"
        return step
            .emit(GatewayEffect.CancelAttempt(row.number, row.attemptCount, CancelCause.FAILED))
            .fail(row.markMayHaveRun(), ResultCode.OUTCOME_UNKNOWN, detail, null)
    }

    private fun askForRead(step: GatewayStep, now: Timestamp): GatewayStep {
        val tables = step.tables
        val refresh = tables.streamVersions.refresh
        val needsRead = tables.streamVersions.held.mapNotNull { tables.requests[it] }.any { row ->
            row.heldHead?.let { tables.holdOf(row, it) } == AnswerHold.DOUBT
        }
        val isDue = refresh.unansweredSince == null || refresh.isRepeatDue(now)
        if (!needsRead || !isDue) return step
        return step.emit(GatewayEffect.RefreshStore).updateVersions { it.copy(refresh = refresh.asked(now)) }
    }
}
