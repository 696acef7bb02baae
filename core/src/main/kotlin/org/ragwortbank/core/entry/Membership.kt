package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/**
 * The fleet as an entry knows it from the instance list and the limit epoch.
 *
 * @property instances the instance list as last read
 * @property instancesRequestedAt start of the call that returned [instances]
 * @property epoch the limit epoch with the highest number read so far
 * @property confirmedAt start of the last call that listed this entry while a member; null since a read without it
 * @property absentSince members missing from the instance list, with the start of the first call without them
 * @property endedMembers members whose process has ended, because their address refused a connection
 * @property retiredSince retired members, with the start of the first call that showed them as retired
 */
data class Membership(
    val instances: PersistentMap<InstanceName, Instance> = persistentMapOf(),
    val instancesRequestedAt: Timestamp? = null,
    val epoch: LimitEpoch? = null,
    val confirmedAt: Timestamp? = null,
    val absentSince: PersistentMap<InstanceName, Timestamp> = persistentMapOf(),
    val retiredSince: PersistentMap<LimitMember, Timestamp> = persistentMapOf(),
    val endedMembers: PersistentSet<LimitMember> = persistentSetOf(),
) {
    /** Whether this entry may grant credit at [now], because its membership was confirmed within the [lease]. */
    fun isConfirmed(now: Timestamp, lease: Duration): Boolean = confirmedAt != null && now - confirmedAt <= lease

    /** Whether [member] is certain to have stopped granting, given that it stops [after] its last confirmation. */
    fun hasCertainlyStoppedGranting(member: LimitMember, now: Timestamp, after: Duration): Boolean =
        member in endedMembers || isAbsentLongerThan(member.name, after) || isRetiredLongerThan(member, now, after)

    /** Whether [name] was missing from every read of the list over more than [duration]. */
    fun isAbsentLongerThan(name: InstanceName, duration: Duration): Boolean {
        val since = absentSince[name]
        return since != null && instancesRequestedAt != null && instancesRequestedAt - since > duration
    }

    private fun isRetiredLongerThan(member: LimitMember, now: Timestamp, after: Duration): Boolean {
        val since = retiredSince[member]
        val replaced = epoch?.members.orEmpty().any { it.name == member.name }
        return since != null && replaced && now - since > after
    }
}
