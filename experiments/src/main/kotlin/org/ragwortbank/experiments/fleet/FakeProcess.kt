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
 * @property held effects that a frozen process performs when it goes on
 * @property requests requests received so far, for their identifiers
 */
data class FakeProcess(
    val name: InstanceName,
    val address: String,
    val tables: EntryTables,
    val inbox: PersistentList<EntryInput> = persistentListOf(),
    val frozenUntil: Timestamp? = null,
    val isolatedUntil: Timestamp = Timestamp(0),
    val held: PersistentList<EntryEffect> = persistentListOf(),
    val requests: Long = 0,
) {
    /** Whether the process does nothing at [now]. */
    fun isFrozen(now: Timestamp): Boolean = frozenUntil != null && now < frozenUntil
}
