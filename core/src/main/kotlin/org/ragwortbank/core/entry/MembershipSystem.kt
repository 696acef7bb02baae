package org.ragwortbank.core.entry

import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.InstanceRole
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem

/** Follows the instance list, the links and the sidecars' digests. */
class MembershipSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { s, input -> handle(s, input) }

    private fun handle(step: EntryStep, input: EntryInput): EntryStep =
        when (input) {
            is EntryInput.InstancesRead -> listed(step, input)
            is EntryInput.EpochRead -> step.update { it.withEpoch(input.epoch, input.askedAt) }
            is EntryInput.LinkOpened -> linked(step, input.instance, connected = true)
            is EntryInput.LinkClosed -> closed(step, input.instance)
            is EntryInput.MemberEnded -> ended(step, input.member)
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
        val self = tables.identity.member.name
        val entries = instances.values.filter { it.role == InstanceRole.ENTRY && it.name != self }
        val targets = entries + tables.upstreams.values.map { it.instance }
        return step
            .log(LogPart.MEMBERS, "instance list names ${instances.size} instances, ${entries.size} other entries")
            .update { it.copy(poolMembers = membersOfPools(it)) }
            .emit(EntryEffect.LinkTo(targets.fold(NO_INSTANCES) { set, instance -> set.add(instance) }))
    }

    private fun linked(step: EntryStep, instance: InstanceName, connected: Boolean): EntryStep =
        step.update { tables ->
            tables.updateUpstream(instance) { it.copy(connected = connected, digest = null, sentSinceDigest = 0) }
        }

    /** A closed link may mean that the process behind it has ended. */
    private fun closed(step: EntryStep, instance: InstanceName): EntryStep {
        val members = step.tables.membership.epoch?.potentialOwners.orEmpty().filter { it.name == instance }
        return linked(step, instance, connected = false).emitAll(members.map { EntryEffect.ProbeMember(it) })
    }

    private fun ended(step: EntryStep, member: LimitMember): EntryStep {
        val membership = step.tables.membership
        val known = membership.epoch?.potentialOwners.orEmpty().contains(member) && member !in membership.ended
        return when {
            !known -> step
            else ->
                step
                    .log(LogPart.MEMBERS, "the process of ${member.name} at ${member.address} has ended")
                    .update { it.copy(membership = membership.copy(ended = membership.ended.add(member))) }
        }
    }

    private fun reported(step: EntryStep, from: InstanceName, report: SidecarReport): EntryStep =
        when (report) {
            is SidecarReport.Digest ->
                step.update { tables -> tables.updateUpstream(from) { it.copy(digest = report, sentSinceDigest = 0) } }
            is SidecarReport.OfRun -> step
        }
}
