package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.entry.EntryEffect
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.entry.EntryTables
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Timestamp

/**
 * An entry process without its network.
 *
 * @property isolatedUntil until when it can't reach the platform
 * @property deferredEffects effects that a frozen process performs when it goes on
 * @property requestCount requests received so far, for their identifiers
 */
data class SimulatedProcess(
    val name: InstanceName,
    val address: String,
    val tables: EntryTables,
    val inbox: PersistentList<EntryInput> = persistentListOf(),
    val suspendedUntil: Timestamp? = null,
    val isolatedUntil: Timestamp = Timestamp(0),
    val deferredEffects: PersistentList<EntryEffect> = persistentListOf(),
    val requestCount: Long = 0,
) {
    /** Whether the process does nothing at [now]. */
    fun isSuspended(now: Timestamp): Boolean = suspendedUntil != null && now < suspendedUntil
}
