package org.ragwortbank.core.limits

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * The entries that may be homes of accounts, as agreed in the key-value service by compare-and-swap.
 *
 * @property number grows by one with each change
 * @property bootstrapMember the member that created the first epoch; it owns each bucket that nobody has asked for yet
 * @property retired former members that might not have noticed yet that they are replaced
 */
data class LimitEpoch(
    val number: Long,
    val bootstrapMember: LimitMember,
    val members: PersistentList<LimitMember>,
    val retired: PersistentList<LimitMember> = persistentListOf(),
) {
    /** All that may own a bucket: members and retired members. */
    val potentialOwners: PersistentList<LimitMember> get() = members.addAll(retired)

    /** The next epoch, with [member] in place of any earlier process of the same name. */
    fun join(member: LimitMember): LimitEpoch {
        val replaced = members.filter { it.name == member.name }
        return copy(
            number = number + 1,
            members = members.removeAll(replaced).add(member),
            retired = retired.addAll(replaced),
        )
    }

    /** The next epoch without [member], which has handed over all that it owned. */
    fun leave(member: LimitMember): LimitEpoch = copy(number = number + 1, members = members.remove(member))

    /** The next epoch without [stopped], which have been absent long enough to have stopped granting. */
    fun removeStopped(stopped: Collection<LimitMember>): LimitEpoch =
        copy(
            number = number + 1,
            members = members.removeAll(stopped),
            retired = (retired - stopped.toSet()).toPersistentList(),
        )

    companion object {
        /** The first epoch, created by [bootstrapMember]. */
        fun first(bootstrapMember: LimitMember): LimitEpoch =
            LimitEpoch(1, bootstrapMember, persistentListOf(bootstrapMember))
    }
}
