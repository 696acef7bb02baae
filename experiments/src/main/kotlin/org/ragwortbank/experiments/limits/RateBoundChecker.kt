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
class RateBoundChecker(private val propagationTime: Duration = 7.seconds) {
    /** The lowest level of the checking bucket in tokens; below zero the bound was broken by so much. */
    fun lowestLevel(history: FleetHistory, consumptions: List<TokenConsumption>): Long {
        val outages = history.recordsOf<FleetRecord.StoreSilent>()
        val agreements = history.recordsOf<FleetRecord.Agreed>().map { AgreementDeadline(it, deadline(it.at, outages)) }
        val initialAccount = agreements.first().agreement.account
        val fullBucket = TokenBucket.of(initialAccount, initialAccount.burst, Timestamp(0))
        return consumptions.sortedBy { it.at }.runningFold(fullBucket) { bucket, consumption ->
            bucket.withHighestLimits(agreements, consumption.at).refill(consumption.at).take(consumption.tokens)
        }.minOf { it.level }
    }

    /** When an agreement made at [agreedAt] must be in force everywhere: time that the service is silent is added. */
    private fun deadline(agreedAt: Timestamp, outages: List<FleetRecord.StoreSilent>): Timestamp {
        val laterOutages = outages.filter { it.until > agreedAt }.sortedBy { it.at }
        return laterOutages.fold(agreedAt + propagationTime) { deadline, outage ->
            if (outage.at <= deadline) maxOf(deadline, outage.until + propagationTime) else deadline
        }
    }

    private fun TokenBucket.withHighestLimits(agreements: List<AgreementDeadline>, now: Timestamp): TokenBucket {
        val agreementsSoFar = agreements.filter { it.agreement.at <= now }
        val newestInForce = agreementsSoFar.indexOfLast { it.deadline < now }.coerceAtLeast(0)
        val possibleAccounts = agreementsSoFar.drop(newestInForce).map { it.agreement.account }
        return copy(rate = possibleAccounts.maxOf { it.rate }, burst = possibleAccounts.maxOf { it.burst })
    }
}

/** An agreement and when it must be in force everywhere. */
private data class AgreementDeadline(val agreement: FleetRecord.Agreed, val deadline: Timestamp)

/** Tokens taken at one time. */
data class TokenConsumption(val at: Timestamp, val tokens: Long)

/** What was admitted in [history]. */
fun consumedTokens(history: FleetHistory): List<TokenConsumption> =
    history.recordsOf<FleetRecord.Admitted>().map { TokenConsumption(it.at, it.tokens) }
