package org.ragwortbank.core.limits

import org.ragwortbank.core.model.Account
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A token bucket with exact integer arithmetic.
 *
 * @property rate tokens per second
 * @property burst tokens that the full bucket holds
 * @property levelNano present content in billionths of a token, as of [updatedAt]
 */
data class TokenBucket(
    val rate: Long,
    val burst: Long,
    val levelNano: Long,
    val updatedAt: Timestamp,
) {
    /** Whole tokens in the bucket as of [updatedAt]. */
    val level: Long get() = levelNano.floorDiv(NANO)

    /**
     * The bucket as of [now], filled at its rate up to its burst less [reserved] tokens.
     *
     * What has been handed out and may still be spent elsewhere belongs into [reserved], so that all stored
     * tokens together never exceed the burst.
     */
    fun refill(now: Timestamp, reserved: Long = 0): TokenBucket {
        val cap = (burst - reserved).coerceAtLeast(0) * NANO
        val elapsed = (now.nanos - updatedAt.nanos).coerceIn(0, longestUsefulNanos())
        val filled = levelNano + elapsed * rate
        return copy(levelNano = filled.coerceAtMost(maxOf(cap, levelNano)), updatedAt = maxOf(now, updatedAt))
    }

    /** Whether [tokens] can be taken now. */
    fun holds(tokens: Long): Boolean = levelNano >= tokens * NANO

    /** The bucket after [tokens] were taken; the level may become negative. */
    fun take(tokens: Long): TokenBucket = copy(levelNano = levelNano - tokens * NANO)

    /** The bucket after [tokens] were put back, never above its burst less [reserved]. */
    fun put(tokens: Long, reserved: Long = 0): TokenBucket {
        val cap = (burst - reserved).coerceAtLeast(0) * NANO
        return copy(levelNano = (levelNano + tokens * NANO).coerceAtMost(maxOf(cap, levelNano)))
    }

    /** How long the bucket must fill until [tokens] can be taken. */
    fun timeUntil(tokens: Long): Duration {
        val missing = (tokens * NANO - levelNano).coerceAtLeast(0)
        return missing.ceilDiv(rate.coerceAtLeast(1)).nanoseconds
    }

    /** The same content under a changed agreement. */
    fun withAgreement(account: Account): TokenBucket =
        copy(rate = account.rate, burst = account.burst, levelNano = levelNano.coerceAtMost(account.burst * NANO))

    private fun longestUsefulNanos(): Long {
        val missing = (burst * NANO - levelNano).coerceAtLeast(0)
        return missing.ceilDiv(rate.coerceAtLeast(1))
    }

    private fun Long.ceilDiv(other: Long): Long = -Math.floorDiv(-this, other)

    companion object {
        /** Billionths in a token. */
        const val NANO: Long = 1_000_000_000

        /** A bucket for [account] that holds [level] tokens at [now]. */
        fun of(account: Account, level: Long, now: Timestamp): TokenBucket =
            TokenBucket(account.rate, account.burst, level * NANO, now)
    }
}
