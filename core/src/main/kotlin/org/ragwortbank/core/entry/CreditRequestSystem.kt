package org.ragwortbank.core.entry

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/**
 * Requests the tokens of waiting requests from the bucket owners of their accounts.
 *
 * All requests of an account that wait at the same time share one message, so that the number of messages
 * is bounded by the round trip and not by the request rate.
 */
class CreditRequestSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        step.tables.accountsNeedingCredit
            .fold(step) { acc, account -> requestCredit(acc, account, tick.now) }
            .update { it.copy(accountsNeedingCredit = persistentSetOf()) }

    private fun requestCredit(step: EntryStep, account: AccountId, now: Timestamp): EntryStep {
        val row = step.tables.credits[account]
        val owner = ownerOf(step.tables, account)
        return when {
            row == null || row.pending != null || owner == null -> step
            else -> sendCreditRequest(step, account, row.waiting, owner, now)
        }
    }

    private fun sendCreditRequest(
        step: EntryStep,
        account: AccountId,
        waiting: List<RequestId>,
        owner: InstanceName,
        now: Timestamp,
    ): EntryStep {
        val requests = waiting.mapNotNull { step.tables.requests[it] }
        if (requests.isEmpty()) return step.update { it.copy(credits = it.credits.remove(account)) }
        val number = step.tables.nextCreditRequest
        val pending = PendingCreditRequest(number, owner, requests.map { it.call.id }.toPersistentList(), now)
        val needs = requests.map { it.reservedTokens }.toPersistentList()
        return step
            .update { tables ->
                val credits = tables.credits.put(account, CreditRow(pending = pending))
                tables.copy(credits = credits, nextCreditRequest = number + 1)
            }
            .emit(EntryEffect.SendToEntry(owner, EntryMessage.CreditRequest(number, account, needs)))
    }
}
