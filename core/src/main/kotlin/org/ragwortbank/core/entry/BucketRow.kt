package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.limits.OwnedBucket

/** The bucket of an account as seen by an entry that is, becomes or was its home. */
sealed interface BucketRow {
    /** This entry alone grants credit of the account. */
    data class Owned(val bucket: OwnedBucket) : BucketRow

    /** This entry holds what a former home left, but may not grant before it has asked all others. */
    data class Received(val balance: BucketBalance) : BucketRow

    /**
     * This entry asks all others for the bucket.
     *
     * @property epoch the limit epoch under which it asks
     * @property unanswered members that have not answered
     */
    data class Collecting(
        val epoch: Long,
        val unanswered: PersistentSet<LimitMember>,
        val balance: BucketBalance = BucketBalance(),
        val queuedRequests: PersistentList<QueuedCreditRequest> = persistentListOf(),
    ) : BucketRow

    /** This entry has given the bucket away. */
    data object Surrendered : BucketRow
}
