package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.ReportedLoad
import org.ragwortbank.core.tick.Timestamp
import kotlin.math.pow
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Multiplies the limit by the ratio of what the upstream bears to what it reports, once a round trip; without reports it
 * doubles until the first evidence against more, and then adds. Evidence against more halves it.
 */
class LoadFollowingPace : PaceRule {
    override fun startLimit(conditions: PaceConditions): Double =
        maxOf(1.0, conditions.slots * START_SHARE) / conditions.gateways

    override fun afterSample(row: PaceRow, sample: PaceSample, conditions: PaceConditions, now: Timestamp): PaceRow =
        judged(row.met(conditions, now).heard(conditions, now), sample, conditions, now)

    private fun judged(row: PaceRow, sample: PaceSample, conditions: PaceConditions, now: Timestamp): PaceRow =
        when (sample) {
            is PaceSample.Began -> afterAnswer(row, sample, conditions, now)
            is PaceSample.Overloaded -> lower(row, sample, conditions, now)
            is PaceSample.Failed ->
                if (conditions.failures < OUTAGE_FAILURES) lower(row, sample, conditions, now)
                else restarted(row, conditions, now)
        }

    override fun whileIdle(row: PaceRow, conditions: PaceConditions, now: Timestamp): PaceRow {
        val isReportAwaited = conditions.load == null && conditions.hasRecentLoad
        if (row.phase == PacePhase.FULL || isReportAwaited || now - row.changedAt < IDLE_ROUND) return row
        val heard = row.heard(conditions, now)
        val grown = grown(heard, conditions)
        val isUnheard = conditions.load == null
        return heard.copy(limit = if (isUnheard) minOf(grown, maxOf(row.limit, 1.0)) else grown, changedAt = now)
    }

    private fun afterAnswer(
        row: PaceRow,
        sample: PaceSample.Began,
        conditions: PaceConditions,
        now: Timestamp,
    ): PaceRow {
        val usualMillis = conditions.norm.millisFor(sample.promptTokens)
        val isEvidence = usualMillis != null && !conditions.isTickLate && isDelayTelling(row, conditions)
        return if (isEvidence) afterDelay(row, sample, usualMillis, conditions, now) else raise(row, sample, conditions, now)
    }

    /** An upstream that reports a load it bears is slow for another reason; else the report says more than the delay. */
    private fun isDelayTelling(row: PaceRow, conditions: PaceConditions): Boolean =
        conditions.load == null || (row.phase == PacePhase.FULL && conditions.load.waiting > 0)

    private fun afterDelay(
        row: PaceRow,
        sample: PaceSample.Began,
        usualMillis: Double,
        conditions: PaceConditions,
        now: Timestamp,
    ): PaceRow {
        val delayMillis = sample.delay.toDouble(DurationUnit.MILLISECONDS)
        val slowness = delayMillis / usualMillis.coerceAtLeast(1.0)
        val based = row.copy(slowness = lowestSlowness(row, slowness, conditions, now), slownessAt = now)
        val isLate = delayMillis > usualMillis * based.slowness.coerceAtLeast(1.0) * LATE_FACTOR + LATE_MILLIS
        return when {
            !isLate -> raise(based.copy(lateCount = 0), sample, conditions, now)
            row.phase == PacePhase.FULL && row.lateCount + 1 < LATE_ANSWERS -> based.copy(lateCount = row.lateCount + 1)
            else -> lower(based, sample, conditions, now)
        }
    }

    /** An upstream that is slow however little it is given soon counts as usual. */
    private fun lowestSlowness(row: PaceRow, slowness: Double, conditions: PaceConditions, now: Timestamp): Double {
        val seconds = (now - row.slownessAt).toDouble(DurationUnit.SECONDS)
        val isLittle = row.limit <= maxOf(1.0, startLimit(conditions))
        val rise = if (isLittle) SLOWNESS_RISE_AT_LITTLE else SLOWNESS_RISE
        return minOf(slowness, row.slowness * rise.pow(seconds))
    }

    private fun raise(row: PaceRow, sample: PaceSample, conditions: PaceConditions, now: Timestamp): PaceRow =
        when {
            row.phase == PacePhase.FULL -> row
            now - row.metAt >= UNMET_TIME && row.allowed > 0 -> row.copy(phase = PacePhase.FULL, changedAt = now)
            !isOfRound(row, sample) -> row
            else -> row.copy(limit = grown(row, conditions), changedAt = now)
        }

    /** The limit after a round without evidence against it. */
    private fun grown(row: PaceRow, conditions: PaceConditions): Double {
        val factor = factor(row, conditions)
        val step = conditions.share * ADDED_SHARE
        val grown = when {
            factor < 1 -> row.limit * factor + step
            row.isMet -> row.limit * factor + step
            else -> row.limit
        }
        return grown.coerceIn(floor(conditions), conditions.slots.toDouble())
    }

    private fun factor(row: PaceRow, conditions: PaceConditions): Double {
        val load = conditions.load ?: return factorWithoutReport(row, conditions)
        val bears = row.bears ?: conditions.slots.toDouble()
        val reported = (load.running + load.waiting).toDouble()
        return when {
            reported > bears -> (bears / reported).coerceAtLeast(MIN_FACTOR)
            else -> (bears * NEARLY_FULL / row.load.coerceAtLeast(1.0)).coerceIn(1.0, MAX_FACTOR)
        }
    }

    private fun factorWithoutReport(row: PaceRow, conditions: PaceConditions): Double =
        if (row.phase == PacePhase.RAMPING && row.limit < conditions.share * NEARLY_FULL / 2) MAX_FACTOR
        else UNHEARD_FACTOR

    private fun lower(row: PaceRow, sample: PaceSample, conditions: PaceConditions, now: Timestamp): PaceRow {
        if (row.phase != PacePhase.FULL && !isOfRound(row, sample)) return row
        val used = maxOf(conditions.inFlight, 1).toDouble()
        val before = if (row.phase == PacePhase.FULL) used else row.limit
        val lowered = (before * MIN_FACTOR).coerceAtLeast(floor(conditions))
        return row.copy(
            phase = PacePhase.PROBING,
            limit = lowered,
            changedAt = now,
            metAt = now,
            lateCount = 0,
        )
    }

    private fun restarted(row: PaceRow, conditions: PaceConditions, now: Timestamp): PaceRow =
        row.copy(
            phase = PacePhase.RAMPING,
            limit = startLimit(conditions),
            changedAt = now,
            metAt = now,
            lateCount = 0,
        )

    private fun PaceRow.met(conditions: PaceConditions, now: Timestamp): PaceRow =
        if (conditions.inFlight >= allowed) copy(metAt = now) else this

    /** Requests that end together leave a gap in the reported load that others are about to fill. */
    private fun PaceRow.heard(conditions: PaceConditions, now: Timestamp): PaceRow {
        val reported = conditions.load ?: return this
        val found = (reported.running + reported.waiting).toDouble()
        val heard = if (found >= load) found else load + (found - load) * WEIGHT_OF_LESS_LOAD
        return copy(load = heard, bears = bears(reported, conditions, now), heardAt = now)
    }

    /** Where requests wait, it runs as many as it can; where none do, it may bear more than it did then. */
    private fun PaceRow.bears(reported: ReportedLoad, conditions: PaceConditions, now: Timestamp): Double? {
        val slots = conditions.slots.toDouble()
        val known = bears ?: slots
        val seconds = (now - heardAt).toDouble(DurationUnit.SECONDS)
        return when {
            reported.waiting > 0 -> reported.running.toDouble().coerceIn(1.0, slots)
            reported.running >= known * MOSTLY_FULL -> (known * GROWTH_OF_BORNE.pow(seconds)).takeIf { it < slots }
            else -> bears
        }
    }

    /** Only a request that was sent after the last change shows its effect. */
    private fun isOfRound(row: PaceRow, sample: PaceSample): Boolean =
        sample.sentAt?.let { it >= row.changedAt } ?: true

    private fun floor(conditions: PaceConditions): Double = minOf(1.0, conditions.share, startLimit(conditions))

    private companion object {
        const val START_SHARE = 1.0 / 16
        const val ADDED_SHARE = 0.04
        const val MAX_FACTOR = 2.0
        const val MIN_FACTOR = 0.5

        /** Growth in a round trip without a report, above this gateway's share or after evidence against more. */
        const val UNHEARD_FACTOR = 1.05

        /** Part of what an upstream bears up to which the limit grows quickly. */
        const val NEARLY_FULL = 0.9

        /** Part of what it bears as far as it is known that must be in use before it is expected to bear more. */
        const val MOSTLY_FULL = 0.7

        /** Growth of that in a second. */
        const val GROWTH_OF_BORNE = 1.6
        const val LATE_FACTOR = 2.0
        const val LATE_MILLIS = 50.0
        const val LATE_ANSWERS = 3
        const val OUTAGE_FAILURES = 2

        /** Factor by which the lowest slowness rises in a second. */
        const val SLOWNESS_RISE = 1.1
        const val SLOWNESS_RISE_AT_LITTLE = 8.0
        const val WEIGHT_OF_LESS_LOAD = 0.2
        val IDLE_ROUND = 300.milliseconds
        val UNMET_TIME = 1.seconds
    }
}
