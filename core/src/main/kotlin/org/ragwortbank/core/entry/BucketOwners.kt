package org.ragwortbank.core.entry

import org.ragwortbank.core.limits.BucketOwnerSelector
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.InstanceName

/** The entry that should own the bucket of [account], by this entry's view of the epoch; null without members. */
internal fun ownerOf(tables: EntryTables, account: AccountId): InstanceName? = ownerMember(tables, account)?.name

/** The member that should own the bucket of [account]; null without members. */
internal fun ownerMember(tables: EntryTables, account: AccountId): LimitMember? =
    BucketOwnerSelector.RENDEZVOUS.ownerOf(account, ownerCandidates(tables))

/** The members of the epoch, without those that have ended or have been absent from the instance list too long. */
internal fun ownerCandidates(tables: EntryTables): List<LimitMember> {
    val membership = tables.membership
    val after = tables.settings.absentAfter
    return membership.epoch?.members.orEmpty()
        .filterNot { it in membership.endedMembers || membership.isAbsentLongerThan(it.name, after) }
}
