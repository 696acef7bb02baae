package org.ragwortbank.core.pacing

import org.ragwortbank.core.tick.Timestamp

/** By how much the limit of an upstream changes in a round. */
internal object PaceGrowth {
    private const val START_SHARE = 1.0 / 16
    private const val ADDED_SHARE = 0.04
    private const val MAX_FACTOR = 2.0
    private const val MIN_FACTOR = 0.5

    /** Growth in a round trip without a report, above this gateway's share or after evidence against more. */
    private const val UNHEARD_FACTOR = 1.05

    /** Part of what an upstream bears up to which the limit grows quickly. */
    private const val NEARLY_FULL = 0.9

    /** The limit with which a gateway begins; those of all gateways are a small part of the slots. */
    fun startLimit(conditions: PaceConditions): Double =
        maxOf(1.0, conditions.slots * START_SHARE) / conditions.gateways

    /** The limit after a round without evidence against it. */
    fun grown(row: PaceRow, conditions: PaceConditions): Double {
        val factor = factor(row, conditions)
        val changed = row.limit * factor + conditions.share * ADDED_SHARE
        val grown = if (factor < 1 || row.isMet) changed else row.limit
        return grown.coerceIn(lowest(conditions), conditions.slots.toDouble())
    }

    /** Half of [limit], or the lowest one that lets the gateway learn. */
    fun halved(limit: Double, conditions: PaceConditions): Double =
        (limit * MIN_FACTOR).coerceAtLeast(lowest(conditions))

    private fun lowest(conditions: PaceConditions): Double = minOf(1.0, conditions.share, startLimit(conditions))

    private fun factor(row: PaceRow, conditions: PaceConditions): Double {
        val load = conditions.load ?: return factorWithoutReport(row, conditions)
        val bears = row.bears ?: conditions.slots.toDouble()
        val reported = (load.running + load.waiting).toDouble()
        return when {
            reported > bears -> (bears / reported).coerceAtLeast(MIN_FACTOR)
            else -> (bears * NEARLY_FULL / row.load.coerceAtLeast(1.0)).coerceIn(1.0, MAX_FACTOR)
        }
    }

    private fun factorWithoutReport(row: PaceRow, conditions: PaceConditions): Double {
        val isLittle = row.limit < conditions.share * NEARLY_FULL / 2
        return if (row.phase == PacePhase.RAMPING && isLittle) MAX_FACTOR else UNHEARD_FACTOR
    }
}

/** This row with its limit as at a start. */
internal fun PaceRow.restarted(conditions: PaceConditions, now: Timestamp): PaceRow =
    copy(
        phase = PacePhase.RAMPING,
        limit = PaceGrowth.startLimit(conditions),
        changedAt = now,
        metAt = now,
        lateCount = 0,
    )
