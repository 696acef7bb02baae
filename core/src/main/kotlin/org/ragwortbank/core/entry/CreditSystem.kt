package org.ragwortbank.core.entry

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.plus
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Gets tokens for waiting requests from the home of their account.
 *
 * All requests of an account that wait at the same time share one question, so that the number of messages
 * is bounded by the round trip and not by the request rate.
 */
class CreditSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep {
        val answered = tick.inputs.fold(step) { s, input -> handle(s, input, tick.now) }
        return answered.tables.askable
            .fold(answered) { s, account -> ask(s, account, tick.now) }
            .update { it.copy(askable = persistentSetOf()) }
    }

    private fun handle(step: EntryStep, input: EntryInput, now: Timestamp): EntryStep =
        when {
            input is EntryInput.LinkClosed -> askAgain(step, input.instance)
            input !is EntryInput.EntrySaid -> step
            else -> handleMessage(step, input.from, input.message, now)
        }

    private fun handleMessage(step: EntryStep, from: InstanceName, message: EntryMessage, now: Timestamp): EntryStep =
        when (message) {
            is EntryMessage.CreditGrant -> granted(step, from, message, now)
            is EntryMessage.NotHome -> if (isPending(step, message)) askAgain(step, message.account) else step
            else -> step
        }

    private fun isPending(step: EntryStep, message: EntryMessage.NotHome): Boolean =
        step.tables.credits[message.account]?.ask?.number == message.ask

    private fun granted(
        step: EntryStep,
        from: InstanceName,
        grant: EntryMessage.CreditGrant,
        now: Timestamp,
    ): EntryStep {
        val row = step.tables.credits[grant.account]
        val ask = row?.ask?.takeIf { it.number == grant.ask }
        val fresh = ask != null && now - ask.sentAt <= step.tables.settings.creditTimeout
        return when {
            ask == null -> giveBack(step, from, grant.account, grant.granted)
            !fresh -> giveBack(step, from, grant.account, grant.granted)
            else -> spend(step.closeAsk(grant.account), from, grant, ask.requests)
        }
    }

    private fun EntryStep.closeAsk(account: AccountId): EntryStep =
        update { tables ->
            val row = tables.credits[account]?.copy(ask = null) ?: CreditRow()
            val credits = if (row.idle) tables.credits.remove(account) else tables.credits.put(account, row)
            tables.copy(credits = credits, askable = tables.askable.add(account))
        }

    private fun spend(
        step: EntryStep,
        from: InstanceName,
        grant: EntryMessage.CreditGrant,
        requests: List<RequestId>,
    ): EntryStep {
        var left = grant.granted
        val spent = requests.fold(step) { s, id ->
            val request = s.tables.requests[id]
            when {
                request == null -> s
                request.reserve > left -> s.refuse(request, rateExceeded(grant))
                else -> admit(s, request).also { left -= request.reserve }
            }
        }
        return giveBack(spent, from, grant.account, left)
    }

    private fun rateExceeded(grant: EntryMessage.CreditGrant): Refusal =
        Refusal.notRun(ResultCode.RATE_EXCEEDED, retryAfter = grant.retryAfter)

    private fun admit(step: EntryStep, request: Request): EntryStep =
        step
            .log(LogPart.LIMITS, "request ${request.call.id} admitted with ${request.reserve} tokens of ${request.account}")
            .update { it.put(request.copy(charged = true, stage = Stage.Ready)) }
            .update { it.copy(ready = it.ready.add(request.call.id)) }

    private fun giveBack(step: EntryStep, to: InstanceName, account: AccountId, tokens: Long): EntryStep =
        if (tokens == 0L) step else step.emit(EntryEffect.ToEntry(to, EntryMessage.CreditSettle(account, tokens)))

    private fun askAgain(step: EntryStep, lost: InstanceName): EntryStep =
        step.tables.credits
            .filterValues { it.ask?.home == lost }
            .keys
            .fold(step) { s, account -> askAgain(s, account) }

    private fun askAgain(step: EntryStep, account: AccountId): EntryStep {
        val row = step.tables.credits[account] ?: return step
        val returned = row.ask?.requests ?: persistentListOf()
        return step.update { tables ->
            tables.copy(credits = tables.credits.put(account, CreditRow(returned + row.waiting)))
        }
    }

    private fun ask(step: EntryStep, account: AccountId, now: Timestamp): EntryStep {
        val row = step.tables.credits[account]
        val home = homeOf(step.tables, account)
        return when {
            row == null || row.ask != null || home == null -> step
            else -> askHome(step, account, row.waiting, home, now)
        }
    }

    private fun askHome(
        step: EntryStep,
        account: AccountId,
        waiting: List<RequestId>,
        home: InstanceName,
        now: Timestamp,
    ): EntryStep {
        val requests = waiting.mapNotNull { step.tables.requests[it] }
        if (requests.isEmpty()) return step.update { it.copy(credits = it.credits.remove(account)) }
        val number = step.tables.nextAsk
        val ask = PendingAsk(number, home, requests.map { it.call.id }.toPersistentList(), now)
        val needs = requests.map { it.reserve }.toPersistentList()
        return step
            .update { it.copy(credits = it.credits.put(account, CreditRow(ask = ask)), nextAsk = number + 1) }
            .emit(EntryEffect.ToEntry(home, EntryMessage.CreditAsk(number, account, needs)))
    }
}
