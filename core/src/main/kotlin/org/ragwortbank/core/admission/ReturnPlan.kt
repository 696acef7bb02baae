package org.ragwortbank.core.admission

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * When the callers that this gateway has refused for an account's rate are to return.
 *
 * Each is given the time that the account's tokens take for those before it, so that they don't return together to be
 * refused again.
 *
 * @property plannedUntil when the tokens of all that were refused so far have been refilled; null before the first
 */
data class ReturnPlan(val plannedUntil: Timestamp? = null) {
    /** Time until the tokens of all that were refused before [now] have been refilled, at which the next may return. */
    fun waitAt(now: Timestamp): Duration = plannedUntil?.let { maxOf(it - now, Duration.ZERO) } ?: Duration.ZERO

    /**
     * This plan with a refused request of [tokens], which is to return no sooner than at [earliest].
     *
     * @param tokensPerSecond this gateway's share of the account's rate
     * @param limit latest time for which returns are planned
     */
    fun add(tokens: Long, tokensPerSecond: Double, earliest: Timestamp, limit: Timestamp): ReturnPlan {
        val from = plannedUntil?.let { maxOf(it, earliest) } ?: earliest
        val drainTime = (tokens / tokensPerSecond.coerceAtLeast(1.0)).seconds
        return ReturnPlan(minOf(from + drainTime, limit))
    }
}
