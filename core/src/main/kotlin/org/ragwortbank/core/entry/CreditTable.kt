package org.ragwortbank.core.entry

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus
import org.ragwortbank.core.model.AccountId

/** Ends the open question for [account], so that the next one can be asked. */
internal fun EntryStep.closeAsk(account: AccountId): EntryStep =
    update { tables ->
        val row = tables.credits[account]?.copy(ask = null) ?: CreditRow()
        val credits = if (row.idle) tables.credits.remove(account) else tables.credits.put(account, row)
        tables.copy(credits = credits, askable = tables.askable.add(account))
    }

/** Puts the requests of an unanswered question for [account] back; the next sweep asks again. */
internal fun EntryStep.waitAgain(account: AccountId): EntryStep {
    val row = tables.credits[account] ?: return this
    val returned = row.ask?.requests ?: persistentListOf()
    return update { it.copy(credits = it.credits.put(account, CreditRow(returned + row.waiting))) }
}
