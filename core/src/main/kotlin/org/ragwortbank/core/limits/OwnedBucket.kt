package org.ragwortbank.core.limits

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/**
 * The one bucket of a client account, at the entry that is the account's home.
 *
 * @property issuedCredits what was handed out lately; it counts against the burst until it can't be spent any more
 * @property headroomHistory how far the bucket has been from full
 */
data class OwnedBucket(
    val bucket: TokenBucket,
    val issuedCredits: PersistentList<IssuedCredit> = persistentListOf(),
    private val headroomHistory: HeadroomHistory = HeadroomHistory(bucket.updatedAt),
) {
    private val issuedTokens: Long get() = issuedCredits.sumOf { it.tokens }

    /**
     * The bucket filled up to [now] under the agreement of [account].
     *
     * It fills piece by piece, because what was handed out lowers the cap up to the moment at which it expires.
     */
    fun refill(account: Account, now: Timestamp): OwnedBucket {
        val expired = issuedCredits.filter { it.expiresAt <= now }.sortedBy { it.expiresAt }
        val limited = copy(bucket = bucket.withLimits(account))
        return expired
            .fold(limited) { owned, credit -> owned.refillTo(credit.expiresAt).removeExpired(credit) }
            .refillTo(now)
    }

    /** The bucket after [tokens] were handed to an entry for at most [lifetime]. */
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
     * The bucket after an entry gave back [tokens] of a grant that could be spent until [expiredAt].
     *
     * They count only as far as the bucket would have had room for them since then, so that they are never counted
     * twice. Before then they were part of what was handed out, which kept the bucket from filling in their place.
     */
    fun returnCredit(tokens: Long, expiredAt: Timestamp): OwnedBucket {
        val creditedTokens = tokens.coerceAtMost(headroomHistory.minimumAfter(expiredAt))
        return copy(bucket = bucket.add(creditedTokens, issuedTokens)).recordHeadroom()
    }

    /** The bucket after [tokens] were taken that had not been reserved. */
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
