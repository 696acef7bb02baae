package org.ragwortbank.node.sidecar

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.message.RunId
import java.util.concurrent.atomic.AtomicReference

/** Handles by which runs at the upstream can be broken off. */
internal class RunRegistry {
    private val handles = AtomicReference<PersistentMap<RunId, AutoCloseable>>(persistentMapOf())

    /** Adds the handle of [id]. */
    fun add(id: RunId, handle: AutoCloseable) {
        handles.updateAndGet { it.put(id, handle) }
    }

    /** Removes the handle of [id] and returns it. */
    fun remove(id: RunId): AutoCloseable? = handles.getAndUpdate { it.remove(id) }[id]

    /** The handle of [id]. */
    fun find(id: RunId): AutoCloseable? = handles.get()[id]
}
