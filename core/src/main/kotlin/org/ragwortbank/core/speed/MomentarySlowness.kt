package org.ragwortbank.core.speed

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

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
    fun excessAt(now: Timestamp): Double =
        (factor - 1.0) * (1.0 - (now - reportedAt) / LIFETIME).coerceIn(0.0, 1.0)

    private companion object {
        /** The figure changes many times a second. */
        val LIFETIME = 300.milliseconds
    }
}
