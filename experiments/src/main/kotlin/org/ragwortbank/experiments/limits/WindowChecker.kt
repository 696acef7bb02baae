package org.ragwortbank.experiments.limits

import org.ragwortbank.core.limits.TokenBucket
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.experiments.fleet.FleetHistory
import org.ragwortbank.experiments.fleet.FleetRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Checks that no window of a history holds more tokens than rate times its length plus burst.
 *
 * That holds for all windows at once exactly when a bucket of this rate and burst, full at the beginning, never
 * runs below zero. Where the agreement changes, the higher one counts until the change must be in force everywhere.
 */
class WindowChecker(private val inForceWithin: Duration = 7.seconds) {
    /** The lowest level of the checking bucket in tokens; below zero the bound was broken by so much. */
    fun lowestLevel(history: FleetHistory, spendings: List<Spending>): Long {
        val agreements = history.of<FleetRecord.Agreed>()
        val full = agreements.first().account
        val begin = TokenBucket.of(full, full.burst, Timestamp(0))
        return spendings.sortedBy { it.at }.runningFold(begin) { bucket, spending ->
            bucket.under(agreements, spending.at).refill(spending.at).take(spending.tokens)
        }.minOf { it.level }
    }

    private fun TokenBucket.under(agreements: List<FleetRecord.Agreed>, now: Timestamp): TokenBucket {
        val present = agreements.last { it.at <= now }
        val recent = agreements.filter { it.at <= now && now - it.at <= inForceWithin }
        val before = agreements.filter { it.at < (recent.firstOrNull()?.at ?: now) }.takeLast(1)
        val counted = (recent + before + present).map { it.account }
        return copy(rate = counted.maxOf { it.rate }, burst = counted.maxOf { it.burst })
    }
}

/** Tokens taken at one time. */
data class Spending(val at: Timestamp, val tokens: Long)

/** What was admitted in [history]. */
fun admitted(history: FleetHistory): List<Spending> =
    history.of<FleetRecord.Admitted>().map { Spending(it.at, it.tokens) }
