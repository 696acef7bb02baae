package org.ragwortbank.standins.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * State of the engine stand-in.
 *
 * @property residentAdapters names of the adapters in slots
 * @property activeGenerations number of generations under way, by adapter
 * @property highestFencingToken highest fencing token that a command carried
 * @property received generations that it accepted, in their order
 * @property evictionsWhileInUse adapters unloaded while a generation used them
 */
internal data class EngineState(
    val residentAdapters: PersistentSet<String> = persistentSetOf(),
    val activeGenerations: PersistentMap<String, Int> = persistentMapOf(),
    val highestFencingToken: Long = 0,
    val received: PersistentList<ReceivedGeneration> = persistentListOf(),
    val evictionsWhileInUse: Int = 0,
) {
    /** Adds [adapterName] if fewer than [adapterSlots] adapters are resident. */
    fun load(adapterName: String, adapterSlots: Int): EngineState =
        if (residentAdapters.size < adapterSlots) copy(residentAdapters = residentAdapters.add(adapterName)) else this

    /** Removes [adapterName], and counts it if a generation uses it. */
    fun unload(adapterName: String): EngineState {
        val newEvictions = if ((activeGenerations[adapterName] ?: 0) > 0) 1 else 0
        return copy(
            residentAdapters = residentAdapters.remove(adapterName),
            evictionsWhileInUse = evictionsWhileInUse + newEvictions,
        )
    }

    /** Adds [change] to the number of generations that use [adapterName]. */
    fun adjustActive(adapterName: String, change: Int): EngineState =
        copy(activeGenerations = activeGenerations.put(adapterName, (activeGenerations[adapterName] ?: 0) + change))
}

/**
 * A generation that the engine received, as tests read it from `/control/seen`.
 *
 * @property prompt JSON text of the prompt or of the chat messages
 * @property headers one line `name: value` for each header field
 */
@Serializable
data class ReceivedGeneration(
    @SerialName("request") val requestId: String,
    val model: String,
    val prompt: String,
    val headers: String,
)
