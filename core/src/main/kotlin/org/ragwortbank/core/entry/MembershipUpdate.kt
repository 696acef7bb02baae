package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.InstanceRole
import org.ragwortbank.core.tick.Timestamp

/** The tables after the instance list was read by a call started at [requestedAt]. */
internal fun EntryTables.withInstances(
    instances: PersistentMap<InstanceName, Instance>,
    requestedAt: Timestamp,
): EntryTables {
    val read = copy(membership = membership.copy(instances = instances))
    val updated = read.membership.copy(
        instancesRequestedAt = requestedAt,
        confirmedAt = if (read.isListed() && isMember()) requestedAt else null,
        absentSince = absentMembers(instances, requestedAt),
    )
    return copy(membership = updated, upstreams = updatedUpstreams(instances))
}

/** The tables after the limit epoch was read by a call started at [requestedAt]; an older epoch is ignored. */
internal fun EntryTables.withEpoch(epoch: LimitEpoch?, requestedAt: Timestamp): EntryTables {
    val previous = membership.epoch
    val newest = if (previous != null && (epoch == null || epoch.number < previous.number)) previous else epoch
    val isMember = newest?.members.orEmpty().contains(identity.member)
    val retired = newest?.retired.orEmpty().associateWith { membership.retiredSince[it] ?: requestedAt }
    return copy(
        membership = membership.copy(
            epoch = newest,
            confirmedAt = membership.confirmedAt.takeIf { isMember },
            retiredSince = retired.toPersistentMap(),
            endedMembers = newest
                ?.let { known -> membership.endedMembers.removeAll { it !in known.potentialOwners } }
                ?: membership.endedMembers,
        ),
    )
}

/**
 * Whether the instance list has this process itself.
 *
 * The address is compared because a process that was replaced under the same name must not rejoin as a member.
 */
internal fun EntryTables.isListed(): Boolean =
    membership.instances[identity.member.name]?.peerAddress == identity.member.address

private fun EntryTables.isMember(): Boolean = membership.epoch?.members.orEmpty().contains(identity.member)

private fun EntryTables.absentMembers(
    instances: PersistentMap<InstanceName, Instance>,
    requestedAt: Timestamp,
): PersistentMap<InstanceName, Timestamp> {
    val epoch = membership.epoch ?: return membership.absentSince
    return epoch.potentialOwners
        .map { it.name }
        .filterNot { it in instances }
        .associateWith { membership.absentSince[it] ?: requestedAt }
        .toPersistentMap()
}

private fun EntryTables.updatedUpstreams(
    instances: PersistentMap<InstanceName, Instance>,
): PersistentMap<InstanceName, Upstream> {
    val sidecars = instances.values.filter { it.role == InstanceRole.SIDECAR }
    val listed = sidecars.associate { it.name to upstreamRow(it) }
    val withOpenRequests = upstreams.values
        .filter { it.instance.name !in listed && it.outstanding > 0 }
        .associate { it.instance.name to it.copy(instance = it.instance.copy(isLeaving = true)) }
    return (listed + withOpenRequests).toPersistentMap()
}

private fun EntryTables.upstreamRow(instance: Instance): Upstream {
    val known = upstreams[instance.name]
    return when {
        known == null -> Upstream(instance, RendezvousHash.hashOf(instance.name.value))
        known.instance.peerAddress == instance.peerAddress -> known.copy(instance = instance)
        else -> known.copy(instance = instance, isConnected = false, digest = null)
    }
}
