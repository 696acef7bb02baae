package org.ragwortbank.core.entry

import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp

/** Proposes the next limit epoch after each read of the present one, where a change is due. */
class EpochSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep {
        val read = tick.inputs.any { it is EntryInput.EpochRead }
        val present = step.tables.membership.epoch
        val next = if (read) next(step.tables, present, tick.now) else null
        return if (next == null) step else propose(step, present, next)
    }

    private fun propose(step: EntryStep, present: LimitEpoch?, next: LimitEpoch): EntryStep =
        step
            .log(LogPart.MEMBERS, "proposes limit epoch ${next.number} with ${next.members.size} members")
            .emit(EntryEffect.ProposeEpoch(present, next))

    private fun next(tables: EntryTables, present: LimitEpoch?, now: Timestamp): LimitEpoch? {
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
            self in present.retired && tables.surrenderedAll -> present.removeStopped(listOf(self))
            else -> null
        }

    private fun removeCrashed(tables: EntryTables, present: LimitEpoch, now: Timestamp): LimitEpoch? {
        val crashed = present.potentialOwners.filter { tables.hasStopped(it, now) }
        val cleaner = present.members.firstOrNull { it !in crashed }
        return when {
            crashed.isEmpty() || cleaner != tables.identity.member -> null
            else -> present.removeStopped(crashed)
        }
    }
}
