package org.ragwortbank.core.limits

import org.ragwortbank.core.model.Account
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A token bucket in integer arithmetic, without rounding errors.
 *
 * @property rate tokens per second
 * @property burst capacity in tokens
 * @property nanoTokens level in billionths of a token as of [updatedAt]; negative after an overdraft
 */
data class TokenBucket(
    val rate: Long,
    val burst: Long,
    val nanoTokens: Long,
    val updatedAt: Timestamp,
) {
    /** Whole tokens in the bucket as of [updatedAt]. */
    val level: Long get() = nanoTokens.floorDiv(NANO_PER_TOKEN)

    /**
     * The bucket as of [now], refilled at its rate up to its burst less [issuedTokens].
     *
     * [issuedTokens] are granted tokens that another process may still spend. Subtracting them keeps all spendable
     * tokens together within the burst. A time before [updatedAt] changes nothing.
     */
    fun refill(now: Timestamp, issuedTokens: Long = 0): TokenBucket {
        val capNanoTokens = (burst - issuedTokens).coerceAtLeast(0) * NANO_PER_TOKEN
        val elapsedNanos = (now.nanos - updatedAt.nanos).coerceIn(0, nanosUntilFull())
        val filledNanoTokens = nanoTokens + elapsedNanos * rate
        val cappedNanoTokens = filledNanoTokens.coerceAtMost(maxOf(capNanoTokens, nanoTokens))
        return copy(nanoTokens = cappedNanoTokens, updatedAt = maxOf(now, updatedAt))
    }

    /** Whether the bucket has at least [tokens] as of [updatedAt]. */
    fun canTake(tokens: Long): Boolean = nanoTokens >= tokens * NANO_PER_TOKEN

    /** The bucket less [tokens]; the level may become negative. */
    fun take(tokens: Long): TokenBucket = copy(nanoTokens = nanoTokens - tokens * NANO_PER_TOKEN)

    /** The bucket plus [tokens], capped at its burst less [issuedTokens]. */
    fun add(tokens: Long, issuedTokens: Long = 0): TokenBucket {
        val capNanoTokens = (burst - issuedTokens).coerceAtLeast(0) * NANO_PER_TOKEN
        val filledNanoTokens = nanoTokens + tokens * NANO_PER_TOKEN
        return copy(nanoTokens = filledNanoTokens.coerceAtMost(maxOf(capNanoTokens, nanoTokens)))
    }

    /** The refill time until [tokens] can be taken. */
    fun timeUntilAvailable(tokens: Long): Duration {
        val missingNanoTokens = (tokens * NANO_PER_TOKEN - nanoTokens).coerceAtLeast(0)
        return missingNanoTokens.ceilDiv(rate.coerceAtLeast(1)).nanoseconds
    }

    /** The bucket with the rate and burst of [account]; a level above the new burst is cut to it. */
    fun withLimits(account: Account): TokenBucket =
        copy(
            rate = account.rate,
            burst = account.burst,
            nanoTokens = nanoTokens.coerceAtMost(account.burst * NANO_PER_TOKEN),
        )

    private fun nanosUntilFull(): Long {
        val missingNanoTokens = (burst * NANO_PER_TOKEN - nanoTokens).coerceAtLeast(0)
        return missingNanoTokens.ceilDiv(rate.coerceAtLeast(1))
    }

    private fun Long.ceilDiv(divisor: Long): Long = -Math.floorDiv(-this, divisor)

    companion object {
        /** Billionths of a token per token. */
        const val NANO_PER_TOKEN: Long = 1_000_000_000

        /** A bucket with the rate and burst of [account] and [level] tokens at [now]. */
        fun of(account: Account, level: Long, now: Timestamp): TokenBucket =
            TokenBucket(account.rate, account.burst, level * NANO_PER_TOKEN, now)
    }
}
