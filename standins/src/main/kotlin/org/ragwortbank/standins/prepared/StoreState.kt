package org.ragwortbank.standins.prepared

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import java.util.concurrent.atomic.AtomicReference

/** A question for changes after number [afterRevision] of keys that begin with [prefix]; [respond] answers it once. */
internal class Watch(val prefix: String, val afterRevision: Long, val respond: (StoreSnapshot) -> Unit)

/** What the store holds at present, and the questions that wait for changes. */
internal class StoreState {
    private val current = AtomicReference(StoreSnapshot())
    private val pendingWatches = AtomicReference<PersistentList<Watch>>(persistentListOf())

    /** What it holds. */
    val snapshot: StoreSnapshot get() = current.get()

    /** Applies [edit] and answers the questions that waited for it. */
    fun update(edit: (StoreSnapshot) -> StoreSnapshot): StoreSnapshot {
        val updated = current.updateAndGet(edit)
        val dueWatches = pendingWatches.get().filter { updated.changesAfter(it.prefix, it.afterRevision).isNotEmpty() }
        dueWatches.forEach(::complete)
        return updated
    }

    /** Keeps [watch] until a change comes or it is answered. */
    fun register(watch: Watch) {
        pendingWatches.updateAndGet { it.add(watch) }
    }

    /** Answers [watch] with what has changed, unless that was done before. */
    fun complete(watch: Watch) {
        val previousWatches = pendingWatches.getAndUpdate { it.remove(watch) }
        if (watch in previousWatches) watch.respond(snapshot)
    }
}
