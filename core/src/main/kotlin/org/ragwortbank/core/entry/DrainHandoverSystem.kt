package org.ragwortbank.core.entry

import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem

/** Hands all buckets over once the limit epoch lists this stopping entry as retired. */
class DrainHandoverSystem : TickSystem<EntryTables, EntryInput, EntryEffect> {
    override fun run(tick: Tick<EntryInput>, step: EntryStep): EntryStep {
        val tables = step.tables
        val epoch = tables.membership.epoch
        val isRetired = epoch != null && tables.identity.member in epoch.retired
        if (!tables.stopping || !isRetired || tables.handedOverAllBuckets) return step
        val accounts = tables.configuration.accounts.keys.filter { tables.balanceOf(it, tick.now).level != null }
        val handedOver = accounts.fold(step) { acc, id ->
            val owner = ownerOf(acc.tables, id)
            if (owner == null) acc else acc.handOverBucket(owner, id, epoch.number, tick.now)
        }
        return handedOver.update { it.copy(handedOverAllBuckets = true) }
    }
}
