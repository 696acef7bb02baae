package org.ragwortbank.node.entry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.node.http.ResponseWriter
import java.util.concurrent.atomic.AtomicReference

/** The writers of all answers under way, by request. */
internal class AnswerWriterRegistry {
    private val writers = AtomicReference<PersistentMap<RequestId, ResponseWriter>>(persistentMapOf())

    /** Number of answers under way. */
    val size: Int get() = writers.get().size

    /** Adds the writer for [id]. */
    fun add(id: RequestId, writer: ResponseWriter) {
        writers.updateAndGet { it.put(id, writer) }
    }

    /** The writer for [id]; null if the answer is complete or the caller has disconnected. */
    fun find(id: RequestId): ResponseWriter? = writers.get()[id]

    /** Removes the writer for [id] and returns it. */
    fun remove(id: RequestId): ResponseWriter? = writers.getAndUpdate { it.remove(id) }[id]
}
