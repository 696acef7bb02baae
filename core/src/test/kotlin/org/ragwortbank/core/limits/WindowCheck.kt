package org.ragwortbank.core.limits

import org.ragwortbank.core.model.Account
import org.ragwortbank.core.tick.Timestamp

/** Tokens spent at one time. */
data class Spending(val spentAt: Timestamp, val tokens: Long)

/** Checks that the tokens spent in any time window do not exceed rate times its length plus burst. */
class WindowCheck(private val account: Account) {
    /** The first spending that ends a window over the limit; null if there is none. */
    fun firstViolation(spendings: List<Spending>): Spending? {
        val ordered = spendings.sortedBy { it.spentAt }
        return ordered.indices.firstOrNull { last -> endsWindowOverLimit(ordered, last) }?.let(ordered::get)
    }

    private fun endsWindowOverLimit(ordered: List<Spending>, last: Int): Boolean {
        val end = ordered[last].spentAt
        var spentTokens = 0L
        return (last downTo 0).any { first ->
            spentTokens += ordered[first].tokens
            val windowNanos = (end - ordered[first].spentAt).inWholeNanoseconds
            val limitNanoTokens = account.burst * TokenBucket.NANO_PER_TOKEN + windowNanos * account.rate
            spentTokens * TokenBucket.NANO_PER_TOKEN > limitNanoTokens
        }
    }
}
