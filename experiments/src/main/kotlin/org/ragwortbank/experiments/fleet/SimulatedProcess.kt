package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.entry.EntryEffect
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.entry.EntryTables
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Timestamp

/**
 * An entry process, whose inputs and effects the simulation carries.
 *
 * @property isolatedUntil until when it can't reach the platform
 * @property deferredEffects effects that a suspended process performs when it resumes
 * @property requestCount requests received so far, from which request IDs are numbered
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
    /** Whether the process is suspended at [now]. */
    fun isSuspended(now: Timestamp): Boolean = suspendedUntil != null && now < suspendedUntil
}
