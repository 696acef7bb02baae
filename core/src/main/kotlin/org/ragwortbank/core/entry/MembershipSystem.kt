package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.InstanceRole
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Follows the instance list, the links and the sidecars' digests. */
class MembershipSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { s, input -> handle(s, input) }

    private fun handle(step: EntryStep, input: EntryInput): EntryStep =
        when (input) {
            is EntryInput.InstancesRead -> listed(step, input)
            is EntryInput.EpochRead -> step.update { it.withEpoch(input.epoch, input.askedAt) }
            is EntryInput.LinkOpened -> linked(step, input.instance, connected = true)
            is EntryInput.LinkClosed -> linked(step, input.instance, connected = false)
            is EntryInput.SidecarSaid -> reported(step, input.from, input.report)
            else -> step
        }

    private fun listed(step: EntryStep, input: EntryInput.InstancesRead): EntryStep {
        val instances = input.instances.associateBy { it.name }.toPersistentMap()
        val changed = instances != step.tables.membership.instances
        val read = step.update { it.withInstances(instances, input.askedAt) }
        return if (changed) relink(read) else read
    }

    private fun relink(step: EntryStep): EntryStep {
        val tables = step.tables
        val instances = tables.membership.instances
        val entries = instances.values.filter { it.role == InstanceRole.ENTRY && it.name != tables.identity.member.name }
        val targets = entries + tables.upstreams.values.map { it.instance }
        return step
            .log(LogPart.MEMBERS, "instance list names ${instances.size} instances, ${entries.size} other entries")
            .update { it.copy(poolMembers = membersOfPools(it)) }
            .emit(EntryEffect.LinkTo(targets.fold(NO_INSTANCES) { set, instance -> set.add(instance) }))
    }

    private fun EntryTables.withInstances(
        instances: PersistentMap<InstanceName, Instance>,
        askedAt: Timestamp,
    ): EntryTables {
        val own = instances[identity.member.name]
        val listed = own != null && own.peerAddress == identity.peerAddress
        val witness = if (listed && isMember()) askedAt else null
        val seen = membership.copy(
            instances = instances,
            listedAt = askedAt,
            witnessAt = latest(membership.witnessAt, witness),
            absentSince = absent(instances, askedAt),
        )
        return copy(membership = seen, upstreams = upstreamRows(instances))
    }

    private fun EntryTables.isMember(): Boolean = membership.epoch?.members.orEmpty().contains(identity.member)

    private fun EntryTables.absent(
        instances: PersistentMap<InstanceName, Instance>,
        askedAt: Timestamp,
    ): PersistentMap<InstanceName, Timestamp> {
        val epoch = membership.epoch ?: return membership.absentSince
        return (epoch.members + epoch.retired)
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
            known == null -> Upstream(instance, RendezvousHash.seed(instance.name.value))
            known.instance.peerAddress == instance.peerAddress -> known.copy(instance = instance)
            else -> known.copy(instance = instance, connected = false, digest = null)
        }
    }

    private fun EntryTables.withEpoch(epoch: LimitEpoch?, askedAt: Timestamp): EntryTables {
        val known = membership.epoch
        val newest = if (known != null && (epoch == null || epoch.number < known.number)) known else epoch
        val member = newest?.members.orEmpty().contains(identity.member)
        val retired = newest?.retired.orEmpty().associateWith { membership.retiredSince[it] ?: askedAt }
        return copy(
            membership = membership.copy(
                epoch = newest,
                epochKnown = true,
                witnessAt = if (member) latest(membership.witnessAt, askedAt) else null,
                retiredSince = retired.toPersistentMap(),
            ),
        )
    }

    private fun latest(a: Timestamp?, b: Timestamp?): Timestamp? = listOfNotNull(a, b).maxOrNull()

    private fun linked(step: EntryStep, instance: InstanceName, connected: Boolean): EntryStep =
        step.update { tables ->
            tables.updateUpstream(instance) { it.copy(connected = connected, digest = null, sentSinceDigest = 0) }
        }

    private fun reported(step: EntryStep, from: InstanceName, report: SidecarReport): EntryStep =
        when (report) {
            is SidecarReport.Digest ->
                step.update { tables -> tables.updateUpstream(from) { it.copy(digest = report, sentSinceDigest = 0) } }
            is SidecarReport.OfRun -> step
        }
}
