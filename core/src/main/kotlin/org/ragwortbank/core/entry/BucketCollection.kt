package org.ragwortbank.core.entry

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Timestamp

/** Starts collecting the bucket that [queued] needs from all other members, or adds it to a running collection. */
internal fun EntryStep.collectBucket(queued: QueuedCreditRequest): EntryStep {
    val epoch = tables.membership.epoch
    val id = queued.request.account
    val row = tables.buckets[id]
    return when {
        epoch == null || !tables.mayCollectUnder(epoch.number) -> replyNotOwner(queued)
        ownerOf(tables, id) != tables.identity.member.name -> replyNotOwner(queued)
        row is BucketRow.Collecting && row.epoch == epoch.number ->
            putBucket(id, row.copy(queuedRequests = row.queuedRequests.add(queued)))
        else -> startCollecting(queued, epoch, (row as? BucketRow.Received)?.balance ?: BucketBalance())
    }
}

/**
 * Whether this entry may become the owner of a bucket under epoch [number].
 *
 * The epoch must be the newest one known, and this entry must not have handed over a bucket under a higher one:
 * the receiver may own the bucket, and a collector that knows only the older epoch would not ask it.
 */
internal fun EntryTables.mayCollectUnder(number: Long): Boolean =
    membership.epoch?.number == number && number >= promisedEpoch

/** Hands the bucket of [id] over to [to]; this entry grants no credit from it afterwards. */
internal fun EntryStep.handOverBucket(to: InstanceName, id: AccountId, epoch: Long, now: Timestamp): EntryStep {
    val balance = tables.balanceOf(id, now)
    return log(LogPart.LIMITS, "handed the bucket of $id over to $to, level ${balance.level ?: "unknown"}")
        .putBucket(id, BucketRow.HandedOver)
        .emit(EntryEffect.SendToEntry(to, EntryMessage.BucketHandover(epoch, id, balance.level, balance.unspent)))
}

/** Repeats the bucket request to each member that has not answered and probes its process. */
internal fun EntryStep.repeatBucketRequests(): EntryStep =
    tables.collectingAccounts.fold(this) { step, id ->
        val row = step.tables.buckets[id] as? BucketRow.Collecting
        val unanswered = row?.unanswered.orEmpty()
        step
            .emitAll(
                unanswered.map { EntryEffect.SendToEntry(it.name, EntryMessage.BucketRequest(row?.epoch ?: 0, id)) }
            )
            .emitAll(unanswered.map { EntryEffect.ProbeMember(it) })
    }

/** Probes the processes of bucket owners for which requests wait without a pending credit request. */
internal fun EntryStep.probeUnresponsiveOwners(): EntryStep {
    val waiting = tables.credits.filterValues { it.pending == null }.keys
    val owners = waiting.mapNotNull { ownerMember(tables, it) }.filter { it != tables.identity.member }
    return emitAll(owners.distinct().map { EntryEffect.ProbeMember(it) })
}

private fun EntryStep.startCollecting(
    queued: QueuedCreditRequest,
    epoch: LimitEpoch,
    balance: BucketBalance,
): EntryStep {
    val id = queued.request.account
    val number = epoch.number
    val others = epoch.potentialOwners.filter { it != tables.identity.member }
    val row = BucketRow.Collecting(number, others.toPersistentSet(), balance, persistentListOf(queued))
    return log(LogPart.LIMITS, "collecting the bucket of $id from ${others.size} members in epoch $number")
        .putBucket(id, row)
        .emitAll(others.map { EntryEffect.SendToEntry(it.name, EntryMessage.BucketRequest(number, id)) })
}
