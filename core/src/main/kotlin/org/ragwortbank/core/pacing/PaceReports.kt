package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.ReportedLoad
import org.ragwortbank.core.tick.Timestamp
import kotlin.math.pow
import kotlin.time.DurationUnit

private const val WEIGHT_OF_LESS_LOAD = 0.2

/** Part of what an upstream bears as far as it is known that must be in use before it is expected to bear more. */
private const val MOSTLY_FULL = 0.7

/** Growth of that in a second. */
private const val GROWTH_OF_BORNE = 1.6

/**
 * This row with the upstream's report, if there is one. Requests that end together leave a gap in the reported load
 * that others are about to fill, so that it falls slowly.
 */
internal fun PaceRow.withReport(conditions: PaceConditions, now: Timestamp): PaceRow {
    val reported = conditions.load ?: return this
    val found = (reported.running + reported.waiting).toDouble()
    val smoothed = if (found >= load) found else load + (found - load) * WEIGHT_OF_LESS_LOAD
    return copy(load = smoothed, bears = bears(reported, conditions, now), heardAt = now)
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
