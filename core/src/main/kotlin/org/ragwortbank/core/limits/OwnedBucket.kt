package org.ragwortbank.core.limits

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
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
    /** The bucket filled up to [now] under the agreement of [account]. */
    fun refill(account: Account, now: Timestamp): OwnedBucket {
        val live = if (issued.any { it.expiresAt <= now }) issued.filter { it.expiresAt > now } else issued
        val reserved = live.sumOf { it.tokens }
        val filled = bucket.withAgreement(account).refill(now, reserved)
        return OwnedBucket(filled, live.toPersistentList())
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
}
