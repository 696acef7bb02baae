package org.ragwortbank.core.pacing

import org.ragwortbank.core.tick.Timestamp
import kotlin.math.pow
import kotlin.time.DurationUnit

/** What the time to the first event tells of an upstream's load. */
internal object DelayEvidence {
    private const val LATE_FACTOR = 2.0
    private const val LATE_MILLIS = 50.0

    /** Factor by which the lowest slowness rises in a second. */
    private const val SLOWNESS_RISE = 1.1

    /** That factor while the upstream is given little. */
    private const val SLOWNESS_RISE_AT_LITTLE = 8.0
    private const val LITTLE = 1.0

    /** The usual delay of an answer like [sample]; null if its delay is no evidence. */
    fun usualMillis(row: PaceRow, sample: PaceSample.Began, conditions: PaceConditions): Double? =
        conditions.norm.millisFor(sample.promptTokens)
            .takeIf { !conditions.isTickLate && isDelayTelling(row, conditions) }

    /** One that reports a load it bears is slow for another reason; else the report says more than the delay. */
    private fun isDelayTelling(row: PaceRow, conditions: PaceConditions): Boolean =
        conditions.load == null || (row.phase == PacePhase.FULL && conditions.load.waiting > 0)

    /** The row with its lowest slowness: an upstream that is slow however little it is given soon counts as usual. */
    fun withSlowness(row: PaceRow, sample: PaceSample.Began, usualMillis: Double, now: Timestamp): PaceRow {
        val found = millis(sample) / usualMillis.coerceAtLeast(1.0)
        val seconds = (now - row.slownessAt).toDouble(DurationUnit.SECONDS)
        val rise = if (row.limit <= LITTLE) SLOWNESS_RISE_AT_LITTLE else SLOWNESS_RISE
        return row.copy(slowness = minOf(found, row.slowness * rise.pow(seconds)), slownessAt = now)
    }

    /** Whether [sample] is later than its prompt and the upstream's lowest slowness explain. */
    fun isLate(row: PaceRow, sample: PaceSample.Began, usualMillis: Double): Boolean =
        millis(sample) > usualMillis * row.slowness.coerceAtLeast(1.0) * LATE_FACTOR + LATE_MILLIS

    private fun millis(sample: PaceSample.Began): Double = sample.delay.toDouble(DurationUnit.MILLISECONDS)
}
