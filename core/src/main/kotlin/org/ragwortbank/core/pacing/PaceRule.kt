package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.ReportedLoad
import org.ragwortbank.core.tick.Timestamp

/**
 * What a rule knows beside an upstream's row.
 *
 * @property slots requests that it runs at the same time, as registered
 * @property gateways gateways that share it
 * @property inFlight this gateway's requests under way there
 * @property failures failed attempts there since its last successful answer
 * @property load load that it reported since the row's limit changed; null without such a report
 * @property hasRecentLoad whether it has reported a load lately, and so will again
 * @property norm usual delays of its service
 * @property isTickLate whether this gateway was late itself, so that measured delays are too long
 */
data class PaceConditions(
    val slots: Int,
    val gateways: Int,
    val inFlight: Int,
    val failures: Int = 0,
    val load: ReportedLoad? = null,
    val hasRecentLoad: Boolean = false,
    val norm: DelayNorm = DelayNorm(),
    val isTickLate: Boolean = false,
) {
    /** This gateway's part of the slots. */
    val share: Double get() = slots.toDouble() / gateways
}

/** How the limit of an upstream follows its answers. */
interface PaceRule {
    /** The limit with which each gateway begins at an upstream that has just started. */
    fun startLimit(conditions: PaceConditions): Double

    /** The row after [sample]. */
    fun afterSample(row: PaceRow, sample: PaceSample, conditions: PaceConditions, now: Timestamp): PaceRow

    /** The row while nothing of this gateway is under way there. */
    fun whileIdle(row: PaceRow, conditions: PaceConditions, now: Timestamp): PaceRow
}
