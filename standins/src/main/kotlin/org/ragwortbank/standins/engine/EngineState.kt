package org.ragwortbank.standins.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.Serializable

/** What the engine stand-in holds and has seen. */
internal data class EngineState(
    val loaded: PersistentSet<String> = persistentSetOf(),
    val running: PersistentMap<String, Int> = persistentMapOf(),
    val highestFencing: Long = 0,
    val seen: PersistentList<SeenRun> = persistentListOf(),
    val evictedWhileRunning: Int = 0,
) {
    /** The state with [name] in one of [slots], if one is free. */
    fun hold(name: String, slots: Int): EngineState =
        if (loaded.size < slots) copy(loaded = loaded.add(name)) else this

    /** The state without [name]. */
    fun drop(name: String): EngineState {
        val busy = if ((running[name] ?: 0) > 0) 1 else 0
        return copy(loaded = loaded.remove(name), evictedWhileRunning = evictedWhileRunning + busy)
    }

    /** The state with one more or one less run on [name]. */
    fun count(name: String, change: Int): EngineState =
        copy(running = running.put(name, (running[name] ?: 0) + change))
}

/**
 * A run as the engine saw it, for the checks of tests.
 *
 * @property headers names and values of all header fields, joined
 */
@Serializable
data class SeenRun(
    val request: String,
    val model: String,
    val prompt: String,
    val headers: String,
)
