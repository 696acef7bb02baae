package org.ragwortbank.core.entry

import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Proposes the next limit epoch after a read of the present one, if this entry must join, leave or remove members. */
class EpochSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep {
        val epochRead = tick.inputs.any { it is EntryInput.EpochRead }
        val present = step.tables.membership.epoch
        val next = if (epochRead) nextEpoch(step.tables, present, tick.now) else null
        return if (next == null) step else propose(step, present, next)
    }

    private fun propose(step: EntryStep, present: LimitEpoch?, next: LimitEpoch): EntryStep =
        step
            .log(LogPart.MEMBERS, "proposing limit epoch ${next.number} with ${next.members.size} members")
            .emit(EntryEffect.ProposeEpoch(present, next))

    private fun nextEpoch(tables: EntryTables, present: LimitEpoch?, now: Timestamp): LimitEpoch? {
        val self = tables.identity.member
        return when {
            tables.stopping -> present?.let { leave(tables, it, self) }
            !tables.isListed() -> null
            present == null -> LimitEpoch.first(self)
            self !in present.members -> present.join(self)
            else -> removeCrashed(tables, present, now)
        }
    }

    private fun leave(tables: EntryTables, present: LimitEpoch, self: LimitMember): LimitEpoch? =
        when {
            self in present.members -> present.leave(self)
            self in present.retired && tables.handedOverAllBuckets -> present.removeStopped(listOf(self))
            else -> null
        }

    private fun removeCrashed(tables: EntryTables, present: LimitEpoch, now: Timestamp): LimitEpoch? {
        val crashed = present.potentialOwners.filter { tables.hasStoppedGranting(it, now) }
        val remover = present.members.firstOrNull { it !in crashed }
        return when {
            crashed.isEmpty() || remover != tables.identity.member -> null
            else -> present.removeStopped(crashed)
        }
    }
}
