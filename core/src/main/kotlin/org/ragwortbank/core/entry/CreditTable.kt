package org.ragwortbank.core.entry

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus
import org.ragwortbank.core.model.AccountId

/** Clears the pending credit request of [account], so that the next one can be sent. */
internal fun EntryStep.closeCreditRequest(account: AccountId): EntryStep =
    update { tables ->
        val row = tables.credits[account]?.copy(pending = null) ?: CreditRow()
        val credits = if (row.isIdle) tables.credits.remove(account) else tables.credits.put(account, row)
        tables.copy(credits = credits, accountsNeedingCredit = tables.accountsNeedingCredit.add(account))
    }

/** Returns the requests of an unanswered credit request of [account] to the queue; the next sweep sends another. */
internal fun EntryStep.requeueRequests(account: AccountId): EntryStep {
    val row = tables.credits[account] ?: return this
    val returned = row.pending?.requests ?: persistentListOf()
    return update { it.copy(credits = it.credits.put(account, CreditRow(returned + row.waiting))) }
}
