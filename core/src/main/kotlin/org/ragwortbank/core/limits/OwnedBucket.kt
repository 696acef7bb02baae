package org.ragwortbank.core.limits

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/**
 * The one bucket of a client account, at the entry that is the account's home.
 *
 * @property issued what was handed out lately; it counts against the burst until it can't be spent any more
 */
data class OwnedBucket(
    val bucket: TokenBucket,
    val issued: PersistentList<IssuedCredit> = persistentListOf(),
) {
    /**
     * The bucket filled up to [now] under the agreement of [account].
     *
     * It fills piece by piece, because what was handed out lowers the cap up to the moment at which it expires.
     */
    fun refill(account: Account, now: Timestamp): OwnedBucket {
        val expired = issued.filter { it.expiresAt <= now }.sortedBy { it.expiresAt }
        val reserved = issued.sumOf { it.tokens }
        val begin = Filling(bucket.withAgreement(account), reserved)
        val end = expired.fold(begin) { filling, credit -> filling.expire(credit) }
        val live = if (expired.isEmpty()) issued else issued.removeAll(expired)
        return OwnedBucket(end.bucket.refill(now, end.reserved), live)
    }

    /** The bucket after [tokens] were handed to an entry for at most [lifetime]. */
    fun issue(tokens: Long, now: Timestamp, lifetime: Duration): OwnedBucket =
        when (tokens) {
            0L -> this
            else -> OwnedBucket(bucket.take(tokens), issued.add(IssuedCredit(tokens, now + lifetime)))
        }

    /** The bucket after an entry gave [tokens] back. */
    fun giveBack(tokens: Long): OwnedBucket = copy(bucket = bucket.put(tokens, issued.sumOf { it.tokens }))

    /** The bucket after [tokens] were taken that had not been reserved. */
    fun charge(tokens: Long): OwnedBucket = copy(bucket = bucket.take(tokens))

    private data class Filling(val bucket: TokenBucket, val reserved: Long) {
        fun expire(credit: IssuedCredit): Filling =
            Filling(bucket.refill(credit.expiresAt, reserved), reserved - credit.tokens)
    }
}
