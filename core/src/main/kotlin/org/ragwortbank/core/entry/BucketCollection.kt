package org.ragwortbank.core.entry

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Timestamp

/** Begins to ask all other members for the bucket that [queued] needs, or adds it to what is being asked for. */
internal fun EntryStep.collect(queued: QueuedAsk): EntryStep {
    val epoch = tables.membership.epoch
    val id = queued.ask.account
    val row = tables.homes[id]
    return when {
        epoch == null || !tables.mayCollectUnder(epoch.number) -> notHome(queued)
        homeOf(tables, id) != tables.identity.member.name -> notHome(queued)
        row is HomeRow.Collecting && row.epoch == epoch.number -> putHome(id, row.copy(asks = row.asks.add(queued)))
        else -> startCollecting(queued, epoch, (row as? HomeRow.Parked)?.remains ?: BucketRemains())
    }
}

/**
 * Whether this entry may become the owner of a bucket under epoch [number].
 *
 * It must be the newest epoch known, and no answer may have been given under a higher one: whoever was answered may
 * own the bucket, and is not asked by a collector that does not know it.
 */
internal fun EntryTables.mayCollectUnder(number: Long): Boolean =
    membership.epoch?.number == number && number >= promisedEpoch

/** Gives the bucket of [id] to [to]; this entry grants nothing for it afterwards. */
internal fun EntryStep.giveBucket(to: InstanceName, id: AccountId, epoch: Long, now: Timestamp): EntryStep {
    val remains = tables.remainsOf(id, now)
    return log(LogPart.LIMITS, "gave the bucket of $id to $to with level ${remains.level ?: "unknown"}")
        .putHome(id, HomeRow.Surrendered)
        .emit(EntryEffect.ToEntry(to, EntryMessage.BucketGiven(epoch, id, remains.level, remains.unspent)))
}

/** Asks again all members that have not answered. */
internal fun EntryStep.askMissingMembers(): EntryStep =
    tables.collecting.fold(this) { step, id ->
        val row = step.tables.homes[id] as? HomeRow.Collecting
        val missing = row?.missing.orEmpty()
        step
            .emitAll(missing.map { EntryEffect.ToEntry(it.name, EntryMessage.BucketAsk(row?.epoch ?: 0, id)) })
            .emitAll(missing.map { EntryEffect.ProbeMember(it) })
    }

/** Finds out whether the homes that have not answered still run. */
internal fun EntryStep.probeSilentHomes(): EntryStep {
    val waiting = tables.credits.filterValues { it.ask == null }.keys
    val homes = waiting.mapNotNull { homeMember(tables, it) }.filter { it != tables.identity.member }
    return emitAll(homes.distinct().map { EntryEffect.ProbeMember(it) })
}

private fun EntryStep.startCollecting(queued: QueuedAsk, epoch: LimitEpoch, remains: BucketRemains): EntryStep {
    val id = queued.ask.account
    val number = epoch.number
    val others = epoch.potentialOwners.filter { it != tables.identity.member }
    val row = HomeRow.Collecting(number, others.toPersistentSet(), remains, persistentListOf(queued))
    return log(LogPart.LIMITS, "collecting the bucket of $id from ${others.size} members in epoch $number")
        .putHome(id, row)
        .emitAll(others.map { EntryEffect.ToEntry(it.name, EntryMessage.BucketAsk(number, id)) })
}
