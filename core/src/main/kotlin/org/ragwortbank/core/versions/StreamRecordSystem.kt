package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.CancelCause
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.fail
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/**
 * Has the store keep at which version streams begin, where that isn't the base version, and lets their answers be
 * passed on once it does.
 */
class StreamRecordSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep {
        val outbox = step.tables.streamVersions.outbox
        if (outbox.isEmpty) return step
        val answered = tick.inputs.fold(step) { current, input ->
            when (input) {
                is GatewayInput.StreamRecordSaved -> current.onOpen(input.key) { confirm(current, it, tick.now) }
                is GatewayInput.StreamRecordFailed -> current.onOpen(input.key) { postpone(current, it, tick.now) }
                else -> current
            }
        }
        return giveUp(confirmSeen(answered, tick.now)).saveStreamRecord(tick.now)
    }

    private fun GatewayStep.onOpen(key: StreamRecordKey, decide: (RecordSave) -> GatewayStep): GatewayStep {
        val open = tables.streamVersions.outbox.open?.takeIf { it.record.key == key }
        return if (open == null) this else decide(open)
    }

    private fun confirmSeen(step: GatewayStep, now: Timestamp): GatewayStep {
        val all = step.tables.streamVersions
        val open = all.outbox.open?.takeIf { it.record.key in all.records } ?: return step
        return confirm(step, open, now)
    }

    /** A late answer doesn't count: the service may have been settled for others before the record was kept. */
    private fun confirm(step: GatewayStep, open: RecordSave, now: Timestamp): GatewayStep {
        val isInTime = now - open.askedAt <= VersionTimes.RECORD_LEASE
        val counts = isInTime || open.requests.isEmpty() || step.tables.isBase(open.record)
        if (!counts) return postpone(step, open, now)
        val kept = step.updateOutbox { it.withSaved(open, now) }
        return open.requests.mapNotNull { kept.tables.requests[it] }
            .fold(kept) { current, row -> current.update { it.put(row.copy(needsRecord = false)) } }
    }

    private fun postpone(step: GatewayStep, open: RecordSave, now: Timestamp): GatewayStep {
        val postponed = open.copy(retryAt = open.retryAt ?: (now + RETRY_INTERVAL))
        return step.updateOutbox { it.copy(open = postponed) }
    }

    /** Fails what waits for a record of a version that isn't admitted any more, and drops a record for nobody. */
    private fun giveUp(step: GatewayStep): GatewayStep {
        val outbox = step.tables.streamVersions.outbox
        val open = outbox.open?.takeIf { it.requests.isNotEmpty() && step.tables.isNeedless(it) }
        val gathered = outbox.unrecorded.filterValues { step.tables.isGivenUp(it) }.keys
        if (open == null && gathered.isEmpty()) return step
        val numbers = gathered + open?.requests.orEmpty()
        val cleared = step.updateOutbox { it.without(numbers, dropsOpen = open != null) }
        return numbers.mapNotNull { cleared.tables.requests[it] }
            .filter { it.needsRecord }
            .fold(cleared) { current, row -> current.abandon(row) }
    }

    private fun GatewayStep.abandon(row: RequestRow): GatewayStep {
        val cancel = GatewayEffect.CancelAttempt(row.number, row.attemptCount, CancelCause.FAILED)
        val cancelled = if (row.upstream == null) this else emit(cancel)
        val detail = "version ${row.version} of ${row.service} is no longer admitted"
        return cancelled.fail(row.markMayHaveRun(), ResultCode.VERSION_UNDECIDED, detail, RETRY_AFTER)
    }

    private companion object {
        val RETRY_INTERVAL = 100.milliseconds
        val RETRY_AFTER = 500.milliseconds
    }
}

private fun GatewayTables.isGivenUp(stream: UnrecordedStream): Boolean {
    val versions = streamVersions.services[stream.service]?.stored ?: return false
    return versions.base != stream.version && stream.version !in versions.admitted
}

/** Whether nothing waits for [save], so that the next record can be asked for; a late write of it does no harm. */
private fun GatewayTables.isNeedless(save: RecordSave): Boolean =
    isGivenUp(save.record.begunAt) || save.requests.none { requests[it]?.needsRecord == true }
