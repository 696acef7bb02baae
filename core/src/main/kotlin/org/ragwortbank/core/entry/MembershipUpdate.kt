package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.InstanceRole
import org.ragwortbank.core.tick.Timestamp

/** The tables after the instance list was read by a call made at [askedAt]. */
internal fun EntryTables.withInstances(
    instances: PersistentMap<InstanceName, Instance>,
    askedAt: Timestamp,
): EntryTables {
    val read = copy(membership = membership.copy(instances = instances))
    val seen = read.membership.copy(
        listedAt = askedAt,
        witnessAt = if (read.isListed() && isMember()) askedAt else null,
        absentSince = absent(instances, askedAt),
    )
    return copy(membership = seen, upstreams = upstreamRows(instances))
}

/** The tables after the limit epoch was read by a call made at [askedAt]; an older epoch changes nothing. */
internal fun EntryTables.withEpoch(epoch: LimitEpoch?, askedAt: Timestamp): EntryTables {
    val before = membership.epoch
    val newest = if (before != null && (epoch == null || epoch.number < before.number)) before else epoch
    val member = newest?.members.orEmpty().contains(identity.member)
    val retired = newest?.retired.orEmpty().associateWith { membership.retiredSince[it] ?: askedAt }
    return copy(
        membership = membership.copy(
            epoch = newest,
            witnessAt = membership.witnessAt.takeIf { member },
            retiredSince = retired.toPersistentMap(),
            ended = newest?.let { known -> membership.ended.removeAll { it !in known.potentialOwners } }
                ?: membership.ended,
        ),
    )
}

/**
 * Whether the instance list names this very process.
 *
 * A process that the platform has replaced under the same name must not claim its place back.
 */
internal fun EntryTables.isListed(): Boolean =
    membership.instances[identity.member.name]?.peerAddress == identity.member.address

private fun EntryTables.isMember(): Boolean = membership.epoch?.members.orEmpty().contains(identity.member)

private fun EntryTables.absent(
    instances: PersistentMap<InstanceName, Instance>,
    askedAt: Timestamp,
): PersistentMap<InstanceName, Timestamp> {
    val epoch = membership.epoch ?: return membership.absentSince
    return epoch.potentialOwners
        .map { it.name }
        .filterNot { it in instances }
        .associateWith { membership.absentSince[it] ?: askedAt }
        .toPersistentMap()
}

private fun EntryTables.upstreamRows(
    instances: PersistentMap<InstanceName, Instance>,
): PersistentMap<InstanceName, Upstream> {
    val sidecars = instances.values.filter { it.role == InstanceRole.SIDECAR }
    val listed = sidecars.associate { it.name to upstreamRow(it) }
    val finishing = upstreams.values
        .filter { it.instance.name !in listed && it.outstanding > 0 }
        .associate { it.instance.name to it.copy(instance = it.instance.copy(leaving = true)) }
    return (listed + finishing).toPersistentMap()
}

private fun EntryTables.upstreamRow(instance: Instance): Upstream {
    val known = upstreams[instance.name]
    return when {
        known == null -> Upstream(instance, RendezvousHash.hashOf(instance.name.value))
        known.instance.peerAddress == instance.peerAddress -> known.copy(instance = instance)
        else -> known.copy(instance = instance, connected = false, digest = null)
    }
}
