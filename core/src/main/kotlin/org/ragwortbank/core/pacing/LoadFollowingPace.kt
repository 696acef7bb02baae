package org.ragwortbank.core.pacing

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Multiplies the limit by the ratio of what the upstream bears to what it reports, once a round trip.
 *
 * Without reports it doubles the limit until the first evidence against more, and then adds. Evidence against more
 * halves it.
 */
class LoadFollowingPace : PaceRule {
    override fun startLimit(conditions: PaceConditions): Double = PaceGrowth.startLimit(conditions)

    override fun afterSample(row: PaceRow, sample: PaceSample, conditions: PaceConditions, now: Timestamp): PaceRow {
        val isMet = conditions.inFlight >= row.allowed
        val current = (if (isMet) row.copy(metAt = now) else row).withReport(conditions, now)
        val isOutage = sample is PaceSample.Failed && conditions.failures >= OUTAGE_FAILURES
        return when {
            isOutage -> current.restarted(conditions, now)
            sample is PaceSample.Began -> afterAnswer(current, sample, conditions, now)
            else -> lower(current, sample, conditions, now)
        }
    }

    override fun whileIdle(row: PaceRow, conditions: PaceConditions, now: Timestamp): PaceRow {
        val isReportAwaited = conditions.load == null && conditions.hasRecentLoad
        if (row.phase == PacePhase.FULL || isReportAwaited || now - row.changedAt < IDLE_ROUND) return row
        val current = row.withReport(conditions, now)
        val grown = PaceGrowth.grown(current, conditions)
        val isUnheard = conditions.load == null
        return current.copy(limit = if (isUnheard) minOf(grown, maxOf(row.limit, 1.0)) else grown, changedAt = now)
    }

    private fun afterAnswer(
        row: PaceRow,
        sample: PaceSample.Began,
        conditions: PaceConditions,
        now: Timestamp,
    ): PaceRow {
        val usualMillis = DelayEvidence.usualMillis(row, sample, conditions)
            ?: return raise(row, sample, conditions, now)
        val compared = DelayEvidence.withSlowness(row, sample, usualMillis, now)
        val isLate = DelayEvidence.isLate(compared, sample, usualMillis)
        val isFirstLate = row.phase == PacePhase.FULL && row.lateCount + 1 < LATE_ANSWERS
        return when {
            !isLate -> raise(compared.copy(lateCount = 0), sample, conditions, now)
            isFirstLate -> compared.copy(lateCount = row.lateCount + 1)
            else -> lower(compared, sample, conditions, now)
        }
    }

    private fun raise(row: PaceRow, sample: PaceSample, conditions: PaceConditions, now: Timestamp): PaceRow =
        when {
            row.phase == PacePhase.FULL -> row
            now - row.metAt >= UNMET_TIME && row.allowed > 0 -> row.copy(phase = PacePhase.FULL, changedAt = now)
            !isOfRound(row, sample) -> row
            else -> row.copy(limit = PaceGrowth.grown(row, conditions), changedAt = now)
        }

    private fun lower(row: PaceRow, sample: PaceSample, conditions: PaceConditions, now: Timestamp): PaceRow {
        val isFull = row.phase == PacePhase.FULL
        if (!isFull && !isOfRound(row, sample)) return row
        val before = if (isFull) maxOf(conditions.inFlight, 1).toDouble() else row.limit
        val lowered = PaceGrowth.halved(before, conditions)
        return row.copy(phase = PacePhase.PROBING, limit = lowered, changedAt = now, metAt = now, lateCount = 0)
    }

    /** Only a request that was sent after the last change shows its effect. */
    private fun isOfRound(row: PaceRow, sample: PaceSample): Boolean =
        sample.sentAt?.let { it >= row.changedAt } ?: true

    private companion object {
        const val LATE_ANSWERS = 3
        const val OUTAGE_FAILURES = 2
        val IDLE_ROUND = 300.milliseconds
        val UNMET_TIME = 1.seconds
    }
}
