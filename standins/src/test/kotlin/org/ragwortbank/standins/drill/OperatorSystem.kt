package org.ragwortbank.standins.drill

import org.ragwortbank.standins.prepared.StoreStandIn
import kotlin.random.Random
import kotlin.time.Duration

/** Writes the newest version while the store is there, also one that the store has lost. */
class OperatorSystem(private val store: StoreStandIn, private val random: Random) : DrillSystem {
    override fun run(now: Duration, tables: DrillTables): DrillTables {
        if (!tables.hasStore || !tables.operator.isWriteDue) return tables
        val sent = tables.operator.withDueChange(random, now)
        store.put(KEY, sent.published.last().config.toJson())
        return tables.copy(operator = sent.withAcknowledgement(now))
    }

    companion object {
        /** Key of the configuration in the store. */
        const val KEY = "op/config"
    }
}
