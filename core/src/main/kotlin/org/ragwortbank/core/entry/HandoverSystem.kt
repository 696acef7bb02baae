package org.ragwortbank.core.entry

import org.ragwortbank.core.limits.IssuedCredit
import org.ragwortbank.core.limits.OwnedBucket
import org.ragwortbank.core.limits.TokenBucket
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Moves buckets between entries.
 *
 * At most one entry owns a bucket: ownership starts with the founder of the first epoch and passes on only when
 * every other member has either given the bucket up or has stopped granting for certain.
 */
class HandoverSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep {
        val answered = tick.inputs.fold(step) { s, input ->
            if (input is EntryInput.EntrySaid) handle(s, input, tick.now) else s
        }
        return answered.tables.collecting.fold(answered) { s, id -> finish(s, id, tick.now) }
    }

    private fun handle(step: EntryStep, input: EntryInput.EntrySaid, now: Timestamp): EntryStep =
        when (val message = input.message) {
            is EntryMessage.BucketAsk -> surrender(step, input.from, message, now)
            is EntryMessage.BucketGiven -> receive(step, input.from, message, now)
            else -> step
        }

    private fun surrender(step: EntryStep, to: InstanceName, ask: EntryMessage.BucketAsk, now: Timestamp): EntryStep {
        val lowest = maxOf(step.tables.membership.epoch?.number ?: 0, step.tables.promisedEpoch)
        return when {
            ask.epoch < lowest -> step
            else -> step.update { it.copy(promisedEpoch = ask.epoch) }.giveBucket(to, ask.account, ask.epoch, now)
        }
    }

    private fun receive(
        step: EntryStep,
        from: InstanceName,
        given: EntryMessage.BucketGiven,
        now: Timestamp,
    ): EntryStep {
        val remains = BucketRemains(given.level, given.unspent)
        return when (val row = step.tables.homeRow(given.account, now)) {
            is HomeRow.Collecting -> collected(step, from, given, row)
            is HomeRow.Parked -> step.putHome(given.account, HomeRow.Parked(row.remains.merge(remains)))
            is HomeRow.Owned -> step
            HomeRow.Surrendered, null -> step.putHome(given.account, HomeRow.Parked(remains))
        }
    }

    private fun collected(
        step: EntryStep,
        from: InstanceName,
        given: EntryMessage.BucketGiven,
        row: HomeRow.Collecting,
    ): EntryStep {
        val answers = row.missing.removeAll { it.name == from }
        val next = row.copy(
            missing = if (given.epoch == row.epoch) answers else row.missing,
            remains = row.remains.merge(BucketRemains(given.level, given.unspent)),
        )
        return step.putHome(given.account, next)
    }

    private fun finish(step: EntryStep, id: AccountId, now: Timestamp): EntryStep {
        val tables = step.tables
        val row = tables.homes[id] as? HomeRow.Collecting ?: return step
        val account = tables.configuration.accounts[id]
        return when {
            account == null || !tables.mayCollectUnder(row.epoch) -> abandon(step, id, row)
            !tables.membership.witnessed(now, tables.settings.witnessLifetime) -> step
            !row.missing.all { tables.hasStopped(it, now) } -> step
            else -> own(step, account, row, now)
        }
    }

    private fun abandon(step: EntryStep, id: AccountId, row: HomeRow.Collecting): EntryStep =
        row.asks.fold(step.putHome(id, HomeRow.Parked(row.remains))) { s, queued -> s.notHome(queued) }

    private fun own(step: EntryStep, account: Account, row: HomeRow.Collecting, now: Timestamp): EntryStep {
        val level = row.remains.level ?: 0
        val owned = OwnedBucket(TokenBucket.of(account, level, now)).reserving(row.remains.unspent, step.tables, now)
        val owning = step
            .log(LogPart.LIMITS, "owns the bucket of ${account.id} with $level tokens in epoch ${row.epoch}")
            .putHome(account.id, HomeRow.Owned(owned))
        return row.asks.fold(owning) { s, queued -> grantQueued(s, queued, account, now) }
    }

    private fun OwnedBucket.reserving(unspent: Long, tables: EntryTables, now: Timestamp): OwnedBucket =
        when (unspent) {
            0L -> this
            else -> copy(issuedCredits = issuedCredits.add(IssuedCredit(unspent, now + tables.settings.grantLifetime)))
        }

    private fun grantQueued(step: EntryStep, queued: QueuedAsk, account: Account, now: Timestamp): EntryStep =
        when (val row = step.tables.homes[account.id]) {
            is HomeRow.Owned -> if (queued.isStale(step.tables, now)) step else grant(step, queued, row, account, now)
            else -> step.notHome(queued)
        }
}
