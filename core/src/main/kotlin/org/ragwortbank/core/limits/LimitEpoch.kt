package org.ragwortbank.core.limits

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * The entries that may own buckets, agreed on by compare-and-swap in the key-value service.
 *
 * @property number incremented by one with each change
 * @property bootstrapMember creator of the first epoch; it owns every bucket that no entry has requested yet
 * @property retired former members that may not have noticed yet that they were replaced
 */
data class LimitEpoch(
    val number: Long,
    val bootstrapMember: LimitMember,
    val members: PersistentList<LimitMember>,
    val retired: PersistentList<LimitMember> = persistentListOf(),
) {
    /** Members and retired members: all that may still own a bucket. */
    val potentialOwners: PersistentList<LimitMember> get() = members.addAll(retired)

    /** The next epoch, in which [member] replaces any earlier process of the same name. */
    fun join(member: LimitMember): LimitEpoch {
        val replaced = members.filter { it.name == member.name }
        return copy(
            number = number + 1,
            members = members.removeAll(replaced).add(member),
            retired = retired.addAll(replaced),
        )
    }

    /** The next epoch without [member], which has handed over all buckets that it owned. */
    fun leave(member: LimitMember): LimitEpoch = copy(number = number + 1, members = members.remove(member))

    /** The next epoch without [stopped]: members absent for too long to grant any more, or without any buckets left. */
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
