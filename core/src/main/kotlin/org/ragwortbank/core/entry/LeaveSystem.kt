package org.ragwortbank.core.entry

import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem

/** Passes all buckets on once the epoch says that this stopping entry is no longer a home. */
class LeaveSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep {
        val tables = step.tables
        val epoch = tables.membership.epoch
        val retired = epoch != null && tables.identity.member in epoch.retired
        if (!tables.stopping || !retired || tables.surrenderedAll) return step
        val ids = tables.configuration.accounts.keys.filter { tables.remainsOf(it, tick.now).level != null }
        val given = ids.fold(step) { s, id ->
            val home = homeOf(s.tables, id)
            if (home == null) s else s.giveBucket(home, id, epoch.number, tick.now)
        }
        return given.update { it.copy(surrenderedAll = true) }
    }
}
