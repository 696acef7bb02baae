package org.ragwortbank.core.entry

import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Spends what homes grant on the requests that it was asked for, and gives back what comes too late. */
class CreditGrantSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { s, input ->
            when (input) {
                is EntryInput.LinkClosed -> ownerLost(s, input.instance)
                is EntryInput.EntryMessageReceived -> said(s, input.from, input.message, tick.now)
                else -> s
            }
        }

    private fun said(step: EntryStep, from: InstanceName, message: EntryMessage, now: Timestamp): EntryStep =
        when (message) {
            is EntryMessage.CreditGrant -> granted(step, from, message, now)
            is EntryMessage.NotHome -> if (isPending(step, message)) step.waitAgain(message.account) else step
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
        val ask = step.tables.credits[grant.account]?.ask?.takeIf { it.number == grant.ask }
        val fresh = ask != null && now - ask.sentAt <= step.tables.settings.grantLifetime
        return when {
            ask == null -> giveBack(step, from, grant, grant.granted)
            !fresh -> giveBack(step.waitAgain(grant.account), from, grant, grant.granted)
            else -> spend(step.closeAsk(grant.account), from, grant, ask.requests)
        }
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
                else -> admit(s, request, grant).also { left -= request.reserve }
            }
        }
        return giveBack(spent, from, grant, left)
    }

    private fun rateExceeded(grant: EntryMessage.CreditGrant): Refusal =
        Refusal.notRun(ResultCode.RATE_EXCEEDED, retryAfter = grant.retryAfter)

    private fun admit(step: EntryStep, request: Request, grant: EntryMessage.CreditGrant): EntryStep {
        val id = request.call.id
        return step
            .log(LogPart.LIMITS, "request $id admitted with ${request.reserve} tokens of ${request.account}")
            .update { it.put(request.copy(grant = grant.stamp, stage = Stage.Ready)) }
            .update { it.copy(ready = it.ready.add(id)) }
    }

    private fun giveBack(
        step: EntryStep,
        to: InstanceName,
        grant: EntryMessage.CreditGrant,
        tokens: Long,
    ): EntryStep {
        val settle = EntryMessage.CreditSettle(grant.account, tokens, grant.stamp)
        return if (tokens == 0L) step else step.emit(EntryEffect.SendToEntry(to, settle))
    }

    private fun ownerLost(step: EntryStep, lost: InstanceName): EntryStep =
        step.tables.credits
            .filterValues { it.ask?.owner == lost }
            .keys
            .fold(step) { s, account -> s.waitAgain(account) }
}
