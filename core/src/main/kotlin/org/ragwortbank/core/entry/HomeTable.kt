package org.ragwortbank.core.entry

import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.limits.OwnedBucket
import org.ragwortbank.core.limits.TokenBucket
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.tick.Timestamp

/** Puts the row of [id] into the homes table and keeps the index of collecting rows. */
internal fun EntryStep.putHome(id: AccountId, row: HomeRow): EntryStep =
    update { tables ->
        val collecting = when (row) {
            is HomeRow.Collecting -> tables.collecting.add(id)
            else -> tables.collecting.remove(id)
        }
        tables.copy(homes = tables.homes.put(id, row), collecting = collecting)
    }

/** The row of [id], which for the founder of the first epoch is a full bucket where there is no row yet. */
internal fun EntryTables.homeRow(id: AccountId, now: Timestamp): HomeRow? = homes[id] ?: foundersBucket(id, now)

/** Tells the asker of [queued] to look for the home anew. */
internal fun EntryStep.notHome(queued: QueuedAsk): EntryStep =
    emit(EntryEffect.ToEntry(queued.from, EntryMessage.NotHome(queued.ask.ask, queued.ask.account)))

/** What this entry can tell of the bucket of [id], to be followed by giving it up. */
internal fun EntryTables.remainsOf(id: AccountId, now: Timestamp): BucketRemains {
    val account = configuration.accounts[id]
    return when (val row = homeRow(id, now)) {
        is HomeRow.Owned -> remains(if (account == null) row.owned else row.owned.refill(account, now))
        is HomeRow.Collecting -> row.remains
        is HomeRow.Parked -> row.remains
        HomeRow.Surrendered, null -> BucketRemains()
    }
}

/** Whether [member] can't grant any more at [now]. */
internal fun EntryTables.hasStopped(member: LimitMember, now: Timestamp): Boolean =
    membership.stoppedForCertain(member, now, settings.absentAfter)

private fun EntryTables.foundersBucket(id: AccountId, now: Timestamp): HomeRow? {
    val account = configuration.accounts[id]
    val founder = membership.epoch?.bootstrapMember == identity.member && !lostFounding && !surrenderedAll
    val witnessed = membership.witnessed(now, settings.witnessLifetime)
    return when {
        account == null || !founder || !witnessed -> null
        else -> HomeRow.Owned(OwnedBucket(TokenBucket.of(account, account.burst, now)))
    }
}

private fun remains(owned: OwnedBucket): BucketRemains =
    BucketRemains(owned.bucket.level, owned.issuedCredits.sumOf { it.tokens })
