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
 * @property issued what was handed out lately; it counts against the burst until it can't be spent any more
 * @property headroom how far the bucket has been from full
 */
data class OwnedBucket(
    val bucket: TokenBucket,
    val issued: PersistentList<IssuedCredit> = persistentListOf(),
    private val headroom: HeadroomLog = HeadroomLog(bucket.updatedAt),
) {
    private val reserved: Long get() = issued.sumOf { it.tokens }

    /**
     * The bucket filled up to [now] under the agreement of [account].
     *
     * It fills piece by piece, because what was handed out lowers the cap up to the moment at which it expires.
     */
    fun refill(account: Account, now: Timestamp): OwnedBucket {
        val expired = issued.filter { it.expiresAt <= now }.sortedBy { it.expiresAt }
        val agreed = copy(bucket = bucket.withAgreement(account))
        return expired.fold(agreed) { owned, credit -> owned.fill(credit.expiresAt).expire(credit) }.fill(now)
    }

    /** The bucket after [tokens] were handed to an entry for at most [lifetime]. */
    fun issue(tokens: Long, now: Timestamp, lifetime: Duration): OwnedBucket =
        when (tokens) {
            0L -> this
            else -> copy(bucket = bucket.take(tokens), issued = issued.add(IssuedCredit(tokens, now + lifetime)))
        }

    /**
     * The bucket after an entry gave back [tokens] of a grant that could be spent until [expiredAt].
     *
     * They count only as far as the bucket would have had room for them since then, so that they are never counted
     * twice. Before then they were part of what was handed out, which kept the bucket from filling in their place.
     */
    fun giveBack(tokens: Long, expiredAt: Timestamp): OwnedBucket {
        val counted = tokens.coerceAtMost(headroom.leastAfter(expiredAt))
        return copy(bucket = bucket.put(counted, reserved)).see()
    }

    /** The bucket after [tokens] were taken that had not been reserved. */
    fun charge(tokens: Long): OwnedBucket = copy(bucket = bucket.take(tokens))

    private fun fill(until: Timestamp): OwnedBucket = copy(bucket = bucket.refill(until, reserved)).see()

    private fun expire(credit: IssuedCredit): OwnedBucket = copy(issued = issued.remove(credit))

    private fun see(): OwnedBucket {
        val room = (bucket.burst - reserved - bucket.level).coerceAtLeast(0)
        return copy(headroom = headroom.see(bucket.updatedAt, room, MEMORY))
    }

    private companion object {
        val MEMORY = 10.minutes
    }
}
