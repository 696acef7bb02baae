package org.ragwortbank.core.entry

import org.ragwortbank.core.limits.BucketOwnerSelector
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.InstanceName

/** The entry that keeps the bucket of [account], as far as this entry knows; null when it knows of none. */
internal fun homeOf(tables: EntryTables, account: AccountId): InstanceName? = homeMember(tables, account)?.name

/** The member that keeps the bucket of [account]. */
internal fun homeMember(tables: EntryTables, account: AccountId): LimitMember? =
    BucketOwnerSelector.RENDEZVOUS.ownerOf(account, homeCandidates(tables))

/** The members of the epoch that are not known to have stopped. */
internal fun homeCandidates(tables: EntryTables): List<LimitMember> {
    val membership = tables.membership
    val after = tables.settings.absentAfter
    return membership.epoch?.members.orEmpty()
        .filterNot { it in membership.ended || membership.absentLongerThan(it.name, after) }
}
