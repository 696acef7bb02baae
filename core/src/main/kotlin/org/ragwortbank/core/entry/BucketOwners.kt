package org.ragwortbank.core.entry

import org.ragwortbank.core.limits.HomeChoice
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.InstanceName

/** The entry that keeps the bucket of [account], as far as this entry knows; null when it knows of none. */
internal fun ownerOf(tables: EntryTables, account: AccountId): InstanceName? = ownerMember(tables, account)?.name

/** The member that keeps the bucket of [account]. */
internal fun ownerMember(tables: EntryTables, account: AccountId): LimitMember? =
    HomeChoice.RENDEZVOUS.homeOf(account, ownerCandidates(tables))

/** The members of the epoch that are not known to have stopped. */
internal fun ownerCandidates(tables: EntryTables): List<LimitMember> {
    val membership = tables.membership
    val after = tables.settings.absentAfter
    return membership.epoch?.members.orEmpty()
        .filterNot { it in membership.endedMembers || membership.absentLongerThan(it.name, after) }
}
