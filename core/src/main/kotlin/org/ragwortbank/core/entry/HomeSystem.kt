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

/** Grants credit from the buckets that this entry owns, as long as it has lately seen itself as a member. */
class HomeSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep {
        val checked = dropUnwitnessed(step, tick.now)
        return tick.inputs.fold(checked) { s, input ->
            if (input is EntryInput.EntrySaid) handle(s, input, tick.now) else s
        }
    }

    private fun dropUnwitnessed(step: EntryStep, now: Timestamp): EntryStep {
        val lifetime = step.tables.settings.witnessLifetime
        val fresh = step.tables.membership.witnessed(now, lifetime)
        return when {
            fresh || step.tables.homes.isEmpty() -> step
            else -> dropAll(step, "not seen as a member for $lifetime")
        }
    }

    private fun dropAll(step: EntryStep, cause: String): EntryStep =
        step
            .log(LogPart.LIMITS, "gave up ${step.tables.homes.size} buckets: $cause")
            .update { it.copy(homes = persistentMapOf(), collecting = persistentSetOf(), lostFounding = true) }

    private fun handle(step: EntryStep, input: EntryInput.EntrySaid, now: Timestamp): EntryStep =
        when (val message = input.message) {
            is EntryMessage.CreditAsk -> asked(step, QueuedAsk(input.from, message, now), now)
            is EntryMessage.CreditSettle -> settled(step, message, now)
            else -> step
        }

    private fun asked(step: EntryStep, queued: QueuedAsk, now: Timestamp): EntryStep {
        val id = queued.ask.account
        val account = step.tables.configuration.accounts[id]
        val row = step.tables.homeRow(id, now)
        val witnessed = step.tables.membership.witnessed(now, step.tables.settings.witnessLifetime)
        return when {
            account == null || !witnessed -> step.notHome(queued)
            row is HomeRow.Owned -> grant(step, queued, row, account, now)
            else -> step.collect(queued)
        }
    }

    private fun settled(step: EntryStep, message: EntryMessage.CreditSettle, now: Timestamp): EntryStep {
        val account = step.tables.configuration.accounts[message.account]
        val row = step.tables.homes[message.account]
        if (account == null || row !is HomeRow.Owned) return step
        val filled = row.owned.refill(account, now)
        val own = message.stamp.owner == step.tables.identity.member.incarnation
        val settled = when {
            message.tokens < 0 -> filled.charge(-message.tokens)
            own -> filled.returnCredit(message.tokens, message.stamp.grantedAt + step.tables.settings.grantLifetime)
            else -> filled
        }
        return step.putHome(message.account, HomeRow.Owned(settled))
    }
}

/** Answers [queued] from the bucket of [row]: each need that fits is granted, in order of arrival. */
internal fun grant(
    step: EntryStep,
    queued: QueuedAsk,
    row: HomeRow.Owned,
    account: Account,
    now: Timestamp,
): EntryStep {
    val filled = row.owned.refill(account, now)
    val fitting = fitting(filled.bucket, queued.ask.needs)
    val issued = filled.issue(fitting.granted, now, step.tables.settings.grantLifetime)
    val wait = fitting.firstRefused?.let { issued.bucket.timeUntilAvailable(it) }
    val stamp = GrantOrigin(step.tables.identity.member.incarnation, now)
    val answer = EntryMessage.CreditGrant(queued.ask.ask, account.id, fitting.granted, stamp, wait)
    return step
        .putHome(account.id, HomeRow.Owned(issued))
        .emit(EntryEffect.ToEntry(queued.from, answer))
}

private fun fitting(bucket: TokenBucket, needs: List<Long>): Fitting =
    needs.fold(Fitting(granted = 0, firstRefused = null)) { fit, need ->
        when {
            bucket.canTake(fit.granted + need) -> fit.copy(granted = fit.granted + need)
            else -> fit.copy(firstRefused = fit.firstRefused ?: need)
        }
    }

/** The tokens granted to the needs that fit, and the first need that does not. */
private data class Fitting(val granted: Long, val firstRefused: Long?)
