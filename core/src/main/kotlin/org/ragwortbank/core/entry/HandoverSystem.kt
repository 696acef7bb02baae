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
 * At most one entry owns a bucket: ownership starts with the bootstrap member of the first epoch and moves only when
 * every other member either has handed the bucket over or is certain to have stopped granting.
 */
class HandoverSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep {
        val handled = tick.inputs.fold(step) { acc, input ->
            if (input is EntryInput.EntryMessageReceived) handle(acc, input, tick.now) else acc
        }
        return handled.tables.collectingAccounts.fold(handled) { acc, id -> finishCollecting(acc, id, tick.now) }
    }

    private fun handle(step: EntryStep, input: EntryInput.EntryMessageReceived, now: Timestamp): EntryStep =
        when (val message = input.message) {
            is EntryMessage.BucketRequest -> answerBucketRequest(step, input.from, message, now)
            is EntryMessage.BucketHandover -> receiveBucket(step, input.from, message, now)
            else -> step
        }

    private fun answerBucketRequest(
        step: EntryStep,
        to: InstanceName,
        request: EntryMessage.BucketRequest,
        now: Timestamp,
    ): EntryStep {
        val lowestValidEpoch = maxOf(step.tables.membership.epoch?.number ?: 0, step.tables.promisedEpoch)
        return when {
            request.epoch < lowestValidEpoch -> step
            else ->
                step
                    .update { it.copy(promisedEpoch = request.epoch) }
                    .handOverBucket(to, request.account, request.epoch, now)
        }
    }

    private fun receiveBucket(
        step: EntryStep,
        from: InstanceName,
        handover: EntryMessage.BucketHandover,
        now: Timestamp,
    ): EntryStep {
        val balance = BucketBalance(handover.level, handover.unspentTokens)
        return when (val row = step.tables.bucketRow(handover.account, now)) {
            is BucketRow.Collecting -> addAnswer(step, from, handover, row)
            is BucketRow.Received -> step.putBucket(handover.account, BucketRow.Received(row.balance.merge(balance)))
            is BucketRow.Owned -> step
            BucketRow.HandedOver, null -> step.putBucket(handover.account, BucketRow.Received(balance))
        }
    }

    private fun addAnswer(
        step: EntryStep,
        from: InstanceName,
        handover: EntryMessage.BucketHandover,
        row: BucketRow.Collecting,
    ): EntryStep {
        val stillUnanswered = row.unanswered.removeAll { it.name == from }
        val updated = row.copy(
            unanswered = if (handover.epoch == row.epoch) stillUnanswered else row.unanswered,
            balance = row.balance.merge(BucketBalance(handover.level, handover.unspentTokens)),
        )
        return step.putBucket(handover.account, updated)
    }

    private fun finishCollecting(step: EntryStep, id: AccountId, now: Timestamp): EntryStep {
        val tables = step.tables
        val row = tables.buckets[id] as? BucketRow.Collecting ?: return step
        val account = tables.configuration.accounts[id]
        return when {
            account == null || !tables.mayCollectUnder(row.epoch) -> abandonCollecting(step, id, row)
            !tables.membership.isConfirmed(now, tables.settings.membershipLease) -> step
            !row.unanswered.all { tables.hasStoppedGranting(it, now) } -> step
            else -> takeOwnership(step, account, row, now)
        }
    }

    private fun abandonCollecting(step: EntryStep, id: AccountId, row: BucketRow.Collecting): EntryStep =
        row.queuedRequests.fold(step.putBucket(id, BucketRow.Received(row.balance))) { acc, queued ->
            acc.replyNotOwner(queued)
        }

    private fun takeOwnership(step: EntryStep, account: Account, row: BucketRow.Collecting, now: Timestamp): EntryStep {
        val level = row.balance.level ?: 0
        val bucket = TokenBucket.of(account, level, now)
        val owned = OwnedBucket(bucket).withOutstanding(row.balance.unspent, step.tables, now)
        val ownerStep = step
            .log(LogPart.LIMITS, "owns the bucket of ${account.id} with $level tokens in epoch ${row.epoch}")
            .putBucket(account.id, BucketRow.Owned(owned))
        return row.queuedRequests.fold(ownerStep) { acc, queued -> grantQueuedRequest(acc, queued, account, now) }
    }

    /** Tokens granted by previous owners count against the burst until their grants have expired. */
    private fun OwnedBucket.withOutstanding(unspent: Long, tables: EntryTables, now: Timestamp): OwnedBucket =
        when (unspent) {
            0L -> this
            else -> copy(issuedCredits = issuedCredits.add(IssuedCredit(unspent, now + tables.settings.grantLifetime)))
        }

    private fun grantQueuedRequest(
        step: EntryStep,
        queued: QueuedCreditRequest,
        account: Account,
        now: Timestamp,
    ): EntryStep =
        when (val row = step.tables.buckets[account.id]) {
            is BucketRow.Owned ->
                if (queued.isStale(step.tables, now)) step else grantCredit(step, queued, row, account, now)
            else -> step.replyNotOwner(queued)
        }
}
