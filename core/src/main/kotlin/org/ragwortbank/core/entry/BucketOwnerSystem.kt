package org.ragwortbank.core.entry

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.limits.GrantOrigin
import org.ragwortbank.core.limits.TokenBucket
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Grants credit from the buckets that this entry owns, as long as its membership lease has not expired. */
class BucketOwnerSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep {
        val checked = dropBucketsWithoutLease(step, tick.now)
        return tick.inputs.fold(checked) { acc, input ->
            if (input is EntryInput.EntryMessageReceived) handle(acc, input, tick.now) else acc
        }
    }

    private fun dropBucketsWithoutLease(step: EntryStep, now: Timestamp): EntryStep {
        val lease = step.tables.settings.membershipLease
        val isConfirmed = step.tables.membership.isConfirmed(now, lease)
        return when {
            isConfirmed || step.tables.buckets.isEmpty() -> step
            else -> dropAllBuckets(step, "membership not confirmed within $lease")
        }
    }

    private fun dropAllBuckets(step: EntryStep, cause: String): EntryStep =
        step
            .log(LogPart.LIMITS, "dropped ${step.tables.buckets.size} buckets: $cause")
            .update { tables ->
                tables.copy(
                    buckets = persistentMapOf(),
                    collectingAccounts = persistentSetOf(),
                    lostBootstrapBuckets = true,
                )
            }

    private fun handle(step: EntryStep, input: EntryInput.EntryMessageReceived, now: Timestamp): EntryStep =
        when (val message = input.message) {
            is EntryMessage.CreditRequest -> creditRequested(step, QueuedCreditRequest(input.from, message, now), now)
            is EntryMessage.CreditReturn -> settleGrant(step, message, now)
            else -> step
        }

    private fun creditRequested(step: EntryStep, queued: QueuedCreditRequest, now: Timestamp): EntryStep {
        val id = queued.request.account
        val account = step.tables.configuration.accounts[id]
        val row = step.tables.bucketRow(id, now)
        val isConfirmed = step.tables.membership.isConfirmed(now, step.tables.settings.membershipLease)
        return when {
            account == null || !isConfirmed -> step.replyNotOwner(queued)
            row is BucketRow.Owned -> grantCredit(step, queued, row, account, now)
            else -> step.collectBucket(queued)
        }
    }

    private fun settleGrant(step: EntryStep, message: EntryMessage.CreditReturn, now: Timestamp): EntryStep {
        val account = step.tables.configuration.accounts[message.account]
        val row = step.tables.buckets[message.account]
        if (account == null || row !is BucketRow.Owned) return step
        val refilled = row.bucket.refill(account, now)
        val isOwnGrant = message.grantOrigin.owner == step.tables.identity.member.incarnation
        val settled = when {
            message.unusedTokens < 0 -> refilled.charge(-message.unusedTokens)
            isOwnGrant -> refilled.returnCredit(
                message.unusedTokens,
                message.grantOrigin.grantedAt + step.tables.settings.grantLifetime
            )
            else -> refilled
        }
        return step.putBucket(message.account, BucketRow.Owned(settled))
    }
}

/** Answers [queued] from the bucket of [row]: grants each amount that the bucket can cover, in order of arrival. */
internal fun grantCredit(
    step: EntryStep,
    queued: QueuedCreditRequest,
    row: BucketRow.Owned,
    account: Account,
    now: Timestamp,
): EntryStep {
    val refilled = row.bucket.refill(account, now)
    val grantable = grantableCredit(refilled.bucket, queued.request.tokensPerRequest)
    val issued = refilled.issue(grantable.granted, now, step.tables.settings.grantLifetime)
    val retryAfter = grantable.firstRefused?.let { issued.bucket.timeUntilAvailable(it) }
    val grantOrigin = GrantOrigin(step.tables.identity.member.incarnation, now)
    val answer = EntryMessage.CreditGrant(
        queued.request.creditRequestId,
        account.id,
        grantable.granted,
        grantOrigin,
        retryAfter
    )
    return step
        .putBucket(account.id, BucketRow.Owned(issued))
        .emit(EntryEffect.SendToEntry(queued.from, answer))
}

private fun grantableCredit(bucket: TokenBucket, needs: List<Long>): GrantableCredit =
    needs.fold(GrantableCredit(granted = 0, firstRefused = null)) { grantable, need ->
        when {
            bucket.canTake(grantable.granted + need) -> grantable.copy(granted = grantable.granted + need)
            else -> grantable.copy(firstRefused = grantable.firstRefused ?: need)
        }
    }

/** The sum of tokens that can be granted, and the first amount that the bucket could not cover. */
private data class GrantableCredit(val granted: Long, val firstRefused: Long?)
