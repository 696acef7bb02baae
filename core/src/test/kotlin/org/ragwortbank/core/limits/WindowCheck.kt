package org.ragwortbank.core.limits

import org.ragwortbank.core.model.Account
import org.ragwortbank.core.tick.Timestamp

/** Tokens taken at one time. */
data class Spending(val at: Timestamp, val tokens: Long)

/** Checks that no window of a history holds more than rate times its length plus burst. */
class WindowCheck(private val account: Account) {
    /** The first spending that ends a window with too much; null when there is none. */
    fun firstViolation(spendings: List<Spending>): Spending? {
        val ordered = spendings.sortedBy { it.at }
        return ordered.indices.firstOrNull { last -> endsViolation(ordered, last) }?.let(ordered::get)
    }

    private fun endsViolation(ordered: List<Spending>, last: Int): Boolean {
        val end = ordered[last].at
        var sum = 0L
        return (last downTo 0).any { first ->
            sum += ordered[first].tokens
            val nanos = (end - ordered[first].at).inWholeNanoseconds
            sum * TokenBucket.NANO_PER_TOKEN > account.burst * TokenBucket.NANO_PER_TOKEN + nanos * account.rate
        }
    }
}
