package org.ragwortbank.core.admission

import org.ragwortbank.core.gateway.FleetBucket
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * What the operators tolerate beyond an account's rate and burst, summed over the fleet.
 *
 * @property window time over which they compare what an account used with its rate
 * @property overage share of the window's tokens
 * @property slackTokens tokens in addition
 */
data class RateTolerance(
    val window: Duration,
    val overage: Double,
    val slackTokens: Double,
) {
    /** Tokens that an account may use in any [window] by its rate and burst alone. */
    fun ratedTokens(bucket: FleetBucket): Double =
        bucket.rate * window.toDouble(DurationUnit.SECONDS) + bucket.burst

    /** Tokens that it may use in any [window] in addition. */
    fun tokensFor(bucket: FleetBucket): Double = ratedTokens(bucket) * overage + slackTokens
}
