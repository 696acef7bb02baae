package org.ragwortbank.experiments.limits

import org.ragwortbank.core.limits.TokenBucket
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.experiments.fleet.FleetHistory
import org.ragwortbank.experiments.fleet.FleetRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Checks that every time window of a run admitted at most the rate times its length plus the burst.
 *
 * This holds for all windows exactly when a token bucket of this rate and burst that starts full never falls below
 * zero. After a change of the agreement, the higher rate and the higher burst of the old and the new agreement count
 * until the deadline by which the change must be in force in all entries. Outages of the key-value service extend the
 * deadline, because entries can't read the change while it does not answer.
 *
 * @property propagationTime time within which a change must be in force in all entries while the service answers
 */
class RateBoundChecker(private val propagationTime: Duration = 7.seconds) {
    /** The lowest level of the reference bucket in tokens; a negative level is the number of tokens over the bound. */
    fun lowestLevel(history: FleetHistory, consumptions: List<TokenConsumption>): Long {
        val outages = history.recordsOf<FleetRecord.StoreSilent>()
        val agreements = history.recordsOf<FleetRecord.Agreed>().map { AgreementDeadline(it, deadline(it.at, outages)) }
        val initialAccount = agreements.first().agreement.account
        val fullBucket = TokenBucket.of(initialAccount, initialAccount.burst, Timestamp(0))
        return consumptions.sortedBy { it.at }.runningFold(fullBucket) { bucket, consumption ->
            bucket.withHighestLimits(agreements, consumption.at).refill(consumption.at).take(consumption.tokens)
        }.minOf { it.level }
    }

    /** The time by which an agreement made at [agreedAt] must be in force in all entries, extended by [outages]. */
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

/** An agreement and the time by which it must be in force in all entries. */
private data class AgreementDeadline(val agreement: FleetRecord.Agreed, val deadline: Timestamp)

/** [tokens] admitted at [at]. */
data class TokenConsumption(val at: Timestamp, val tokens: Long)

/** The tokens of each admitted request in [history]. */
fun consumedTokens(history: FleetHistory): List<TokenConsumption> =
    history.recordsOf<FleetRecord.Admitted>().map { TokenConsumption(it.at, it.tokens) }
