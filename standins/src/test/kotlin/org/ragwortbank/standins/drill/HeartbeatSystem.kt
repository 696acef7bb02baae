package org.ragwortbank.standins.drill

import org.ragwortbank.standins.prepared.StoreStandIn
import kotlin.time.Duration

/** Writes the workers' heartbeats while the store is there, those of all workers once it is back. */
class HeartbeatSystem(private val store: StoreStandIn, private val workers: DrillWorkers) : DrillSystem {
    override fun run(now: Duration, tables: DrillTables): DrillTables {
        when {
            !tables.hasStore -> Unit
            tables.storeReturnedAt == now -> workers.writeAll(store, now)
            else -> workers.writeHeartbeats(store, tables.tickedAt, now)
        }
        return tables
    }
}
