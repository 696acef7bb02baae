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
 * What an entry knows of the fleet.
 *
 * @property instances the instance list as last read
 * @property instancesRequestedAt when the call was made that read [instances]
 * @property epoch the highest limit epoch read
 * @property confirmedAt when this entry asked for the list that last named it; null since a list that did not
 * @property absentSince members that are missing from the list, with the time since when
 * @property endedMembers members whose process has ended: nothing listens at their address any more
 * @property retiredSince retired members, with the time at which this entry first read so
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
    /** Whether this entry may still grant credit at [now]. */
    fun isConfirmed(now: Timestamp, lease: Duration): Boolean = confirmedAt != null && now - confirmedAt <= lease

    /** Whether [member] has stopped granting for certain, given that it stops [after] its last sight of itself. */
    fun hasCertainlyStoppedGranting(member: LimitMember, now: Timestamp, after: Duration): Boolean =
        member in endedMembers || absentLongerThan(member.name, after) || retiredLongerThan(member, now, after)

    /** Whether every read of the list over a time of [duration] lacked [name]. */
    fun absentLongerThan(name: InstanceName, duration: Duration): Boolean {
        val since = absentSince[name]
        return since != null && instancesRequestedAt != null && instancesRequestedAt - since > duration
    }

    private fun retiredLongerThan(member: LimitMember, now: Timestamp, after: Duration): Boolean {
        val since = retiredSince[member]
        val replaced = epoch?.members.orEmpty().any { it.name == member.name }
        return since != null && replaced && now - since > after
    }
}
