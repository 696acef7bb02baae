package org.ragwortbank.core.message

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.limits.GrantOrigin
import org.ragwortbank.core.model.AccountId
import kotlin.time.Duration

/** What entries tell each other. */
sealed interface EntryMessage {
    /**
     * Asks the home of [account] for tokens for several requests.
     *
     * @property needs tokens per waiting request, in order of arrival
     */
    data class CreditAsk(
        val ask: Long,
        val account: AccountId,
        val needs: PersistentList<Long>,
    ) : EntryMessage

    /**
     * Answers a [CreditAsk].
     *
     * @property granted tokens, enough for each request that could be admitted when taken in order
     * @property stamp identifies the grant
     * @property retryAfter when the first request that was left out is likely to be admitted
     */
    data class CreditGrant(
        val ask: Long,
        val account: AccountId,
        val granted: Long,
        val stamp: GrantOrigin,
        val retryAfter: Duration?,
    ) : EntryMessage

    /** The receiver is not the home of [account]; the asker looks for the home anew. */
    data class NotHome(val ask: Long, val account: AccountId) : EntryMessage

    /**
     * Corrects the grant with [stamp].
     *
     * @property tokens reserved but not used, or, when negative, used beyond the reservation
     */
    data class CreditSettle(val account: AccountId, val tokens: Long, val stamp: GrantOrigin) : EntryMessage

    /** Asks for the bucket of [account]; the receiver grants nothing for it afterwards. */
    data class BucketAsk(val epoch: Long, val account: AccountId) : EntryMessage

    /**
     * Answers a [BucketAsk].
     *
     * @property level tokens in the bucket; null when the sender did not own it
     * @property unspent tokens handed out that may still be spent for a short time
     */
    data class BucketGiven(
        val epoch: Long,
        val account: AccountId,
        val level: Long?,
        val unspent: Long,
    ) : EntryMessage

    /** The sender's configuration version. */
    data class ConfigNotice(val version: Long) : EntryMessage
}
