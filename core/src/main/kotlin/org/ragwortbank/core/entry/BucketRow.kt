package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.limits.OwnedBucket

/** The bucket of an account as seen by an entry that owns it, is about to own it or has owned it. */
sealed interface BucketRow {
    /** This entry is the only one that grants credit of the account. */
    data class Owned(val bucket: OwnedBucket) : BucketRow

    /** A previous owner has handed its balance over, but this entry must ask all other members before it may grant. */
    data class Received(val balance: BucketBalance) : BucketRow

    /**
     * This entry is asking all other members for the bucket.
     *
     * @property epoch the limit epoch under which it asks the members
     * @property unanswered members that have not answered yet
     * @property queuedRequests credit requests to answer once this entry owns the bucket
     */
    data class Collecting(
        val epoch: Long,
        val unanswered: PersistentSet<LimitMember>,
        val balance: BucketBalance = BucketBalance(),
        val queuedRequests: PersistentList<QueuedCreditRequest> = persistentListOf(),
    ) : BucketRow

    /** This entry has handed the bucket over. */
    data object HandedOver : BucketRow
}
