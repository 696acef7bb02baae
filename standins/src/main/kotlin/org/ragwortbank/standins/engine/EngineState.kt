package org.ragwortbank.standins.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the engine stand-in holds and has seen. */
internal data class EngineState(
    val residentAdapters: PersistentSet<String> = persistentSetOf(),
    val activeGenerations: PersistentMap<String, Int> = persistentMapOf(),
    val highestFencingToken: Long = 0,
    val received: PersistentList<ReceivedGeneration> = persistentListOf(),
    val evictionsWhileInUse: Int = 0,
) {
    /** The state with [name] in one of [adapterSlots], if one is free. */
    fun load(name: String, adapterSlots: Int): EngineState =
        if (residentAdapters.size < adapterSlots) copy(residentAdapters = residentAdapters.add(name)) else this

    /** The state without [name]. */
    fun unload(name: String): EngineState {
        val newEvictions = if ((activeGenerations[name] ?: 0) > 0) 1 else 0
        return copy(
            residentAdapters = residentAdapters.remove(name),
            evictionsWhileInUse = evictionsWhileInUse + newEvictions,
        )
    }

    /** The state with one more or one less run on [name]. */
    fun adjustActive(name: String, change: Int): EngineState =
        copy(activeGenerations = activeGenerations.put(name, (activeGenerations[name] ?: 0) + change))
}

/**
 * A run as the engine saw it, for the checks of tests.
 *
 * @property headers names and values of all header fields, joined
 */
@Serializable
data class ReceivedGeneration(
    @SerialName("request") val requestId: String,
    val model: String,
    val prompt: String,
    val headers: String,
)
