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
 * runs below zero. Where the agreement changes, the higher one counts until the change must be in force everywhere,
 * which it need not be while the key-value service is silent.
 */
class WindowChecker(private val inForceWithin: Duration = 7.seconds) {
    /** The lowest level of the checking bucket in tokens; below zero the bound was broken by so much. */
    fun lowestLevel(history: FleetHistory, spendings: List<Spending>): Long {
        val silences = history.of<FleetRecord.StoreSilent>()
        val agreements = history.of<FleetRecord.Agreed>().map { InForce(it, deadline(it.at, silences)) }
        val full = agreements.first().agreed.account
        val begin = TokenBucket.of(full, full.burst, Timestamp(0))
        return spendings.sortedBy { it.at }.runningFold(begin) { bucket, spending ->
            bucket.under(agreements, spending.at).refill(spending.at).take(spending.tokens)
        }.minOf { it.level }
    }

    /** When an agreement made at [at] must be in force everywhere: time in which the service is silent is added. */
    private fun deadline(at: Timestamp, silences: List<FleetRecord.StoreSilent>): Timestamp {
        val later = silences.filter { it.until > at }.sortedBy { it.at }
        return later.fold(at + inForceWithin) { end, silence ->
            if (silence.at <= end) maxOf(end, silence.until + inForceWithin) else end
        }
    }

    private fun TokenBucket.under(agreements: List<InForce>, now: Timestamp): TokenBucket {
        val made = agreements.filter { it.agreed.at <= now }
        val firm = made.indexOfLast { it.deadline < now }.coerceAtLeast(0)
        val counted = made.drop(firm).map { it.agreed.account }
        return copy(rate = counted.maxOf { it.rate }, burst = counted.maxOf { it.burst })
    }
}

/** An agreement and when it must be in force everywhere. */
private data class InForce(val agreed: FleetRecord.Agreed, val deadline: Timestamp)

/** Tokens taken at one time. */
data class Spending(val at: Timestamp, val tokens: Long)

/** What was admitted in [history]. */
fun admitted(history: FleetHistory): List<Spending> =
    history.of<FleetRecord.Admitted>().map { Spending(it.at, it.tokens) }
