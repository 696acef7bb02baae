package org.ragwortbank.core.entry

import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.limits.OwnedBucket
import org.ragwortbank.core.limits.TokenBucket
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.tick.Timestamp

/** Stores the row of [id] in the buckets table and updates the index of collecting rows. */
internal fun EntryStep.putBucket(id: AccountId, row: BucketRow): EntryStep =
    update { tables ->
        val collecting = when (row) {
            is BucketRow.Collecting -> tables.collectingAccounts.add(id)
            else -> tables.collectingAccounts.remove(id)
        }
        tables.copy(buckets = tables.buckets.put(id, row), collectingAccounts = collecting)
    }

/** The row of [id]; at the bootstrap member, an account without a row has a full bucket. */
internal fun EntryTables.bucketRow(id: AccountId, now: Timestamp): BucketRow? = buckets[id] ?: bootstrapBucket(id, now)

/** Tells the sender of [queued] that this entry is not the owner, so that it looks the owner up again. */
internal fun EntryStep.replyNotOwner(queued: QueuedCreditRequest): EntryStep =
    emit(
        EntryEffect.SendToEntry(
            queued.from,
            EntryMessage.NotBucketOwner(queued.request.creditRequestId, queued.request.account)
        )
    )

/** The balance of the bucket of [id] to report in a handover; the caller must give the bucket up afterwards. */
internal fun EntryTables.balanceOf(id: AccountId, now: Timestamp): BucketBalance {
    val account = configuration.accounts[id]
    return when (val row = bucketRow(id, now)) {
        is BucketRow.Owned -> ownedBalance(if (account == null) row.bucket else row.bucket.refill(account, now))
        is BucketRow.Collecting -> row.balance
        is BucketRow.Received -> row.balance
        BucketRow.HandedOver, null -> BucketBalance()
    }
}

/** Whether [member] is certain to have stopped granting credit by [now]. */
internal fun EntryTables.hasStoppedGranting(member: LimitMember, now: Timestamp): Boolean =
    membership.hasCertainlyStoppedGranting(member, now, settings.absentAfter)

private fun EntryTables.bootstrapBucket(id: AccountId, now: Timestamp): BucketRow? {
    val account = configuration.accounts[id]
    val isBootstrapMember = membership.epoch?.bootstrapMember == identity.member
    val mayAssumeFullBucket = isBootstrapMember && !lostBootstrapBuckets && !handedOverAllBuckets
    val isConfirmed = membership.isConfirmed(now, settings.membershipLease)
    return when {
        account == null || !mayAssumeFullBucket || !isConfirmed -> null
        else -> BucketRow.Owned(OwnedBucket(TokenBucket.of(account, account.burst, now)))
    }
}

private fun ownedBalance(owned: OwnedBucket): BucketBalance =
    BucketBalance(owned.bucket.level, owned.issuedCredits.sumOf { it.tokens })
