package org.ragwortbank.standins.drill

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.standins.prepared.StoreStandIn
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Keeps copies of the store from each tick of the last seconds. */
class CopySystem(private val store: StoreStandIn) : DrillSystem {
    override fun run(now: Duration, tables: DrillTables): DrillTables {
        if (!tables.hasStore) return tables
        val copy = StoreCopy(now, tables.operator.published.last().config.version, store.snapshot)
        val kept = tables.copies.filter { it.at > now - maxAge }.toPersistentList()
        return tables.copy(copies = kept.add(copy))
    }

    private companion object {
        val maxAge = 5.seconds
    }
}
