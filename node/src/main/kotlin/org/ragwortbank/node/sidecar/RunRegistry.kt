package org.ragwortbank.node.sidecar

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.message.RunId
import java.util.concurrent.atomic.AtomicReference

/** Handles that cancel runs at the upstream; a run may complete before its handle is set. */
internal class RunRegistry {
    private val handles = AtomicReference<PersistentMap<RunId, Handle>>(persistentMapOf())

    /** Starts the run [id] by [startRun] and keeps its handle until [remove]. */
    fun start(id: RunId, startRun: () -> AutoCloseable) {
        val handle = Handle()
        handles.updateAndGet { it.put(id, handle) }
        handle.closeable.set(startRun())
    }

    /** Cancels the run [id], if it is still under way. */
    fun cancel(id: RunId) {
        handles.get()[id]?.closeable?.get()?.close()
    }

    /** Removes the run [id], which has completed or failed. */
    fun remove(id: RunId) {
        handles.updateAndGet { it.remove(id) }
    }

    private class Handle {
        val closeable = AtomicReference<AutoCloseable?>(null)
    }
}
