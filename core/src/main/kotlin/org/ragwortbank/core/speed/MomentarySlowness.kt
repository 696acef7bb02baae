package org.ragwortbank.core.speed

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * How long work takes at an upstream at a moment, as it has stated itself.
 *
 * @property factor time that work takes there by the time that it usually takes there
 */
data class MomentarySlowness(
    val factor: Double,
    val reportedAt: Timestamp,
) {
    /** Time that work takes beyond the usual, as a share of it; fades to 0 with the age of the statement. */
    fun excessAt(now: Timestamp): Double = (factor - 1.0) * (remainingAt(now) / LIFETIME)

    /** What work of [workMillis] that begins at [now] loses while the upstream stays slow, in milliseconds. */
    fun lossMillis(workMillis: Double, now: Timestamp): Double {
        val remainingMillis = remainingAt(now).toDouble(DurationUnit.MILLISECONDS)
        return if (factor <= 1.0) 0.0 else minOf(workMillis * (factor - 1.0), remainingMillis * (1.0 - 1.0 / factor))
    }

    private fun remainingAt(now: Timestamp): Duration =
        (LIFETIME - (now - reportedAt)).coerceIn(Duration.ZERO, LIFETIME)

    private companion object {
        /** Time within which the figure of a shared machine has likely changed. */
        val LIFETIME = 500.milliseconds
    }
}
