package org.ragwortbank.core.limits

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * The only bucket of a client account, kept by the bucket owner.
 *
 * @property issuedCredits credit granted to entries; it counts against the burst until it expires
 * @property headroomHistory recent headroom of the bucket, which bounds how many returned tokens are credited
 */
data class OwnedBucket(
    val bucket: TokenBucket,
    val issuedCredits: PersistentList<IssuedCredit> = persistentListOf(),
    private val headroomHistory: HeadroomHistory = HeadroomHistory(bucket.updatedAt),
) {
    private val issuedTokens: Long get() = issuedCredits.sumOf { it.tokens }

    /**
     * The bucket refilled up to [now] with the rate and burst of [account].
     *
     * It is refilled up to each expiry in turn, because issued credit lowers the cap until it expires.
     */
    fun refill(account: Account, now: Timestamp): OwnedBucket {
        val expired = issuedCredits.filter { it.expiresAt <= now }.sortedBy { it.expiresAt }
        val limited = copy(bucket = bucket.withLimits(account))
        return expired
            .fold(limited) { owned, credit -> owned.refillTo(credit.expiresAt).removeExpired(credit) }
            .refillTo(now)
    }

    /** The bucket after [tokens] were granted to an entry, to be spent within [lifetime]. */
    fun issue(tokens: Long, now: Timestamp, lifetime: Duration): OwnedBucket =
        when (tokens) {
            0L -> this
            else ->
                copy(
                    bucket = bucket.take(tokens),
                    issuedCredits = issuedCredits.add(IssuedCredit(tokens, now + lifetime)),
                )
        }

    /**
     * The bucket after an entry returned [tokens] of a grant that could be spent until [expiredAt].
     *
     * At most the lowest headroom since [expiredAt] is credited: beyond that, refilling has already replaced the tokens
     * and they would count twice. Before [expiredAt] the issued credit kept the bucket from refilling in their place.
     */
    fun returnCredit(tokens: Long, expiredAt: Timestamp): OwnedBucket {
        val creditedTokens = tokens.coerceAtMost(headroomHistory.minimumAfter(expiredAt))
        return copy(bucket = bucket.add(creditedTokens, issuedTokens)).recordHeadroom()
    }

    /** The bucket after [tokens] were consumed in excess of a grant; the level may become negative. */
    fun charge(tokens: Long): OwnedBucket = copy(bucket = bucket.take(tokens))

    private fun refillTo(until: Timestamp): OwnedBucket =
        copy(bucket = bucket.refill(until, issuedTokens)).recordHeadroom()

    private fun removeExpired(credit: IssuedCredit): OwnedBucket = copy(issuedCredits = issuedCredits.remove(credit))

    private fun recordHeadroom(): OwnedBucket {
        val headroom = (bucket.burst - issuedTokens - bucket.level).coerceAtLeast(0)
        return copy(headroomHistory = headroomHistory.record(bucket.updatedAt, headroom, HEADROOM_RETENTION))
    }

    private companion object {
        val HEADROOM_RETENTION = 10.minutes
    }
}
