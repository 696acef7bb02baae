package org.ragwortbank.core.message

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.limits.GrantOrigin
import org.ragwortbank.core.model.AccountId
import kotlin.time.Duration

/** Messages that entries exchange. */
sealed interface EntryMessage {
    /**
     * Requests credit for waiting requests from the entry that owns the bucket of [account].
     *
     * @property creditRequestId number that the answer repeats
     * @property tokensPerRequest tokens that each waiting request needs, in order of arrival
     */
    data class CreditRequest(
        val creditRequestId: Long,
        val account: AccountId,
        val tokensPerRequest: PersistentList<Long>,
    ) : EntryMessage

    /**
     * Answers a [CreditRequest] with credit.
     *
     * @property grantedTokens sum over the requests that could be admitted when taken in order
     * @property grantOrigin identifies the grant
     * @property retryAfter when the first request that could not be admitted is likely to be; null when there is none
     */
    data class CreditGrant(
        val creditRequestId: Long,
        val account: AccountId,
        val grantedTokens: Long,
        val grantOrigin: GrantOrigin,
        val retryAfter: Duration?,
    ) : EntryMessage

    /**
     * Answers a [CreditRequest] for an [account] whose bucket the sender does not own.
     *
     * The requester then looks up the owner again.
     */
    data class NotBucketOwner(val creditRequestId: Long, val account: AccountId) : EntryMessage

    /**
     * Returns the unused part of the grant with [grantOrigin], or reports what was consumed beyond it.
     *
     * @property unusedTokens tokens reserved but not consumed, or, when negative, consumed beyond the reservation
     */
    data class CreditReturn(val account: AccountId, val unusedTokens: Long, val grantOrigin: GrantOrigin) : EntryMessage

    /** Requests the bucket of [account] for [epoch]; the receiver grants no credit from it afterwards. */
    data class BucketRequest(val epoch: Long, val account: AccountId) : EntryMessage

    /**
     * Answers a [BucketRequest] with the state of the bucket.
     *
     * @property level tokens in the bucket; null when the sender did not own it
     * @property unspentTokens granted tokens that may still be spent until their grants expire
     */
    data class BucketHandover(
        val epoch: Long,
        val account: AccountId,
        val level: Long?,
        val unspentTokens: Long,
    ) : EntryMessage

    /** Announces the version of the sender's configuration. */
    data class ConfigVersionNotice(val version: Long) : EntryMessage
}
