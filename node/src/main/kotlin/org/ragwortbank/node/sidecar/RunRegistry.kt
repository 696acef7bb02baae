package org.ragwortbank.node.sidecar

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.message.RunId
import java.util.concurrent.atomic.AtomicReference

/** Handles by which runs at the upstream can be broken off; a run may end before its handle is known. */
internal class RunRegistry {
    private val handles = AtomicReference<PersistentMap<RunId, Handle>>(persistentMapOf())

    /** Begins the run [id] by [startRun] and keeps its handle until the run ends. */
    fun start(id: RunId, startRun: () -> AutoCloseable) {
        val handle = Handle()
        handles.updateAndGet { it.put(id, handle) }
        handle.closeable.set(startRun())
    }

    /** Breaks the run [id] off, if it has not ended. */
    fun cancel(id: RunId) {
        handles.get()[id]?.closeable?.get()?.close()
    }

    /** Forgets the run [id]. */
    fun remove(id: RunId) {
        handles.updateAndGet { it.remove(id) }
    }

    private class Handle {
        val closeable = AtomicReference<AutoCloseable?>(null)
    }
}
