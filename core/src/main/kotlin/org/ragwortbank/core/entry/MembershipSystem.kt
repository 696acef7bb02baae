package org.ragwortbank.core.entry

import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.InstanceRole
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem

/** Tracks the instance list, the limit epoch, the state of links and the sidecars' digests. */
class MembershipSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep =
        tick.inputs.fold(step) { acc, input -> handle(acc, input) }

    private fun handle(step: EntryStep, input: EntryInput): EntryStep =
        when (input) {
            is EntryInput.InstancesRead -> applyInstances(step, input)
            is EntryInput.EpochRead -> step.update { it.withEpoch(input.epoch, input.requestedAt) }
            is EntryInput.LinkOpened -> setConnected(step, input.instance, connected = true)
            is EntryInput.LinkClosed -> handleLinkClosed(step, input.instance)
            is EntryInput.MemberProcessEnded -> markEnded(step, input.member)
            is EntryInput.SidecarReportReceived -> applyDigest(step, input.from, input.report)
            else -> step
        }

    private fun applyInstances(step: EntryStep, input: EntryInput.InstancesRead): EntryStep {
        val instances = input.instances.associateBy { it.name }.toPersistentMap()
        val hasChanged = instances != step.tables.membership.instances
        val updated = step.update { it.withInstances(instances, input.requestedAt) }
        return if (hasChanged) updateLinks(updated) else updated
    }

    private fun updateLinks(step: EntryStep): EntryStep {
        val tables = step.tables
        val instances = tables.membership.instances
        val self = tables.identity.member.name
        val entries = instances.values.filter { it.role == InstanceRole.ENTRY && it.name != self }
        val targets = entries + tables.upstreams.values.map { it.instance }
        return step
            .log(LogPart.MEMBERS, "instance list has ${instances.size} instances, ${entries.size} other entries")
            .update { it.copy(poolMembers = membersOfPools(it)) }
            .emit(EntryEffect.SetLinks(targets.fold(NO_INSTANCES) { set, instance -> set.add(instance) }))
    }

    private fun setConnected(step: EntryStep, instance: InstanceName, connected: Boolean): EntryStep =
        step.update { tables ->
            tables.updateUpstream(instance) { upstream ->
                upstream.copy(isConnected = connected, digest = null, dispatchedSinceDigest = 0)
            }
        }

    /** A closed link may mean that the process behind it has ended, so the process is probed. */
    private fun handleLinkClosed(step: EntryStep, instance: InstanceName): EntryStep {
        val members = step.tables.membership.epoch?.potentialOwners.orEmpty().filter { it.name == instance }
        return setConnected(step, instance, connected = false).emitAll(members.map { EntryEffect.ProbeMember(it) })
    }

    private fun markEnded(step: EntryStep, member: LimitMember): EntryStep {
        val membership = step.tables.membership
        val updated = membership.copy(endedMembers = membership.endedMembers.add(member))
        val isKnown = membership.epoch?.potentialOwners.orEmpty().contains(member) && member !in membership.endedMembers
        return when {
            !isKnown -> step
            else ->
                step
                    .log(LogPart.MEMBERS, "the process of ${member.name} at ${member.address} has ended")
                    .update { it.copy(membership = updated) }
        }
    }

    private fun applyDigest(step: EntryStep, from: InstanceName, report: SidecarReport): EntryStep =
        when (report) {
            is SidecarReport.Digest ->
                step.update { tables ->
                    tables.updateUpstream(from) { it.copy(digest = report, dispatchedSinceDigest = 0) }
                }
            is SidecarReport.RunReport -> step
        }
}
