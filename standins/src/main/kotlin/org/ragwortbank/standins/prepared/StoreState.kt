package org.ragwortbank.standins.prepared

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import java.util.concurrent.atomic.AtomicReference

/** A pending watch for changes after [afterRevision] of keys that begin with [prefix]; [respond] is called once. */
internal class Watch(val prefix: String, val afterRevision: Long, val respond: (StoreSnapshot) -> Unit)

/** Current content of the store and the watches that wait for a change. */
internal class StoreState {
    private val current = AtomicReference(StoreSnapshot())
    private val pendingWatches = AtomicReference<PersistentList<Watch>>(persistentListOf())

    /** The current content. */
    val snapshot: StoreSnapshot get() = current.get()

    /** Applies [edit] and completes the watches that it affects. */
    fun update(edit: (StoreSnapshot) -> StoreSnapshot): StoreSnapshot {
        val updated = current.updateAndGet(edit)
        val dueWatches = pendingWatches.get().filter { updated.changesAfter(it.prefix, it.afterRevision).isNotEmpty() }
        dueWatches.forEach(::complete)
        return updated
    }

    /** Continues with [snapshot], and without the watches that wait. */
    fun restart(snapshot: StoreSnapshot) {
        pendingWatches.set(persistentListOf())
        current.set(snapshot)
    }

    /** Keeps [watch] until a change affects it or [complete] is called. */
    fun register(watch: Watch) {
        pendingWatches.updateAndGet { it.add(watch) }
    }

    /** Responds to [watch] with the current content, unless that was done before. */
    fun complete(watch: Watch) {
        val previousWatches = pendingWatches.getAndUpdate { it.remove(watch) }
        if (watch in previousWatches) watch.respond(snapshot)
    }
}
