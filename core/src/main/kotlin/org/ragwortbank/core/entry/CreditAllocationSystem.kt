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

/** Admits waiting requests with the tokens that bucket owners grant, and returns unused and late grants. */
class CreditAllocationSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { acc, input ->
            when (input) {
                is EntryInput.LinkClosed -> requeueRequestsTo(acc, input.instance)
                is EntryInput.EntryMessageReceived -> handle(acc, input.from, input.message, tick.now)
                else -> acc
            }
        }

    private fun handle(step: EntryStep, from: InstanceName, message: EntryMessage, now: Timestamp): EntryStep =
        when (message) {
            is EntryMessage.CreditGrant -> applyGrant(step, from, message, now)
            is EntryMessage.NotBucketOwner ->
                if (isPending(step, message)) step.requeueRequests(message.account) else step
            else -> step
        }

    private fun isPending(step: EntryStep, message: EntryMessage.NotBucketOwner): Boolean =
        step.tables.credits[message.account]?.pending?.number == message.creditRequestId

    private fun applyGrant(
        step: EntryStep,
        from: InstanceName,
        grant: EntryMessage.CreditGrant,
        now: Timestamp,
    ): EntryStep {
        val pending = step.tables.credits[grant.account]?.pending?.takeIf { it.number == grant.creditRequestId }
        val isFresh = pending != null && now - pending.sentAt <= step.tables.settings.grantLifetime
        return when {
            pending == null -> returnCredit(step, from, grant, grant.grantedTokens)
            !isFresh -> returnCredit(step.requeueRequests(grant.account), from, grant, grant.grantedTokens)
            else -> allocate(step.closeCreditRequest(grant.account), from, grant, pending.requests)
        }
    }

    private fun allocate(
        step: EntryStep,
        from: InstanceName,
        grant: EntryMessage.CreditGrant,
        requests: List<RequestId>,
    ): EntryStep {
        var remaining = grant.grantedTokens
        val allocated = requests.fold(step) { acc, id ->
            val request = acc.tables.requests[id]
            when {
                request == null -> acc
                request.reservedTokens > remaining -> acc.refuse(request, rateExceeded(grant))
                else -> admit(acc, request, grant).also { remaining -= request.reservedTokens }
            }
        }
        return returnCredit(allocated, from, grant, remaining)
    }

    private fun rateExceeded(grant: EntryMessage.CreditGrant): Refusal =
        Refusal.notRun(ResultCode.RATE_EXCEEDED, retryAfter = grant.retryAfter)

    private fun admit(step: EntryStep, request: Request, grant: EntryMessage.CreditGrant): EntryStep {
        val id = request.call.id
        return step
            .log(LogPart.LIMITS, "request $id admitted with ${request.reservedTokens} tokens of ${request.account}")
            .update { it.putRequest(request.copy(grantOrigin = grant.grantOrigin, stage = Stage.Ready)) }
            .update { it.copy(readyRequests = it.readyRequests.add(id)) }
    }

    private fun returnCredit(
        step: EntryStep,
        to: InstanceName,
        grant: EntryMessage.CreditGrant,
        tokens: Long,
    ): EntryStep {
        val unused = EntryMessage.CreditReturn(grant.account, tokens, grant.grantOrigin)
        return if (tokens == 0L) step else step.emit(EntryEffect.SendToEntry(to, unused))
    }

    private fun requeueRequestsTo(step: EntryStep, owner: InstanceName): EntryStep =
        step.tables.credits
            .filterValues { it.pending?.owner == owner }
            .keys
            .fold(step) { acc, account -> acc.requeueRequests(account) }
}
