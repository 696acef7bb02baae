package org.ragwortbank.standins.drill

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlin.time.Duration

/**
 * State of a drill but for its processes; times are since its start.
 *
 * @property tickedAt time of the latest tick
 * @property storeStoppedAt when the store went away; null while it is there
 * @property storeReturnedAt when the store came back last
 * @property storeSlowSince when the store began to delay its answers; null while it doesn't
 * @property copies copies of the store, of which it may come back from one
 * @property disturbances past disturbances of the store
 */
data class DrillTables(
    val operator: DrillOperator,
    val tickedAt: Duration,
    val storeStoppedAt: Duration? = null,
    val storeReturnedAt: Duration? = null,
    val storeSlowSince: Duration? = null,
    val copies: PersistentList<StoreCopy> = persistentListOf(),
    val disturbances: PersistentList<Disturbance> = persistentListOf(),
) {
    /** Whether the store accepts calls. */
    val hasStore: Boolean get() = storeStoppedAt == null

    /** After a disturbance of the store from [from] until [until]. */
    fun withDisturbance(from: Duration, until: Duration): DrillTables =
        copy(disturbances = disturbances.add(Disturbance(machine = null, from, until)))
}
