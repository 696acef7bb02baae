package org.ragwortbank.core.message

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.limits.GrantStamp
import org.ragwortbank.core.model.AccountId
import kotlin.time.Duration

/** What entries tell each other. */
sealed interface EntryMessage {
    /**
     * Asks the home of [account] for tokens for several requests.
     *
     * @property tokensPerRequest tokens per waiting request, in order of arrival
     */
    data class CreditRequest(
        val creditRequestId: Long,
        val account: AccountId,
        val tokensPerRequest: PersistentList<Long>,
    ) : EntryMessage

    /**
     * Answers a [CreditRequest].
     *
     * @property grantedTokens tokens, enough for each request that could be admitted when taken in order
     * @property stamp identifies the grant
     * @property retryAfter when the first request that was left out is likely to be admitted
     */
    data class CreditGrant(
        val creditRequestId: Long,
        val account: AccountId,
        val grantedTokens: Long,
        val stamp: GrantStamp,
        val retryAfter: Duration?,
    ) : EntryMessage

    /** The receiver is not the home of [account]; the asker looks for the home anew. */
    data class NotBucketOwner(val creditRequestId: Long, val account: AccountId) : EntryMessage

    /**
     * Corrects the grant with [stamp].
     *
     * @property unusedTokens reserved but not used, or, when negative, used beyond the reservation
     */
    data class CreditReturn(val account: AccountId, val unusedTokens: Long, val stamp: GrantStamp) : EntryMessage

    /** Asks for the bucket of [account]; the receiver grants nothing for it afterwards. */
    data class BucketRequest(val epoch: Long, val account: AccountId) : EntryMessage

    /**
     * Answers a [BucketRequest].
     *
     * @property level tokens in the bucket; null when the sender did not own it
     * @property unspentTokens tokens handed out that may still be spent for a short time
     */
    data class BucketHandover(
        val epoch: Long,
        val account: AccountId,
        val level: Long?,
        val unspentTokens: Long,
    ) : EntryMessage

    /** The sender's configuration version. */
    data class ConfigVersionNotice(val version: Long) : EntryMessage
}
