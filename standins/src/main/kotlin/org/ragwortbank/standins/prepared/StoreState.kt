package org.ragwortbank.standins.prepared

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import java.util.concurrent.atomic.AtomicReference

/** A question for changes after number [after] of keys that begin with [prefix]; [tell] answers it once. */
internal class Watch(val prefix: String, val after: Long, val tell: (StoreData) -> Unit)

/** What the store holds at present, and the questions that wait for changes. */
internal class StoreState {
    private val data = AtomicReference(StoreData())
    private val watches = AtomicReference<PersistentList<Watch>>(persistentListOf())

    /** What it holds. */
    val content: StoreData get() = data.get()

    /** Applies [edit] and answers the questions that waited for it. */
    fun change(edit: (StoreData) -> StoreData): StoreData {
        val next = data.updateAndGet(edit)
        val due = watches.get().filter { next.changes(it.prefix, it.after).isNotEmpty() }
        due.forEach(::answer)
        return next
    }

    /** Keeps [watch] until a change comes or it is answered. */
    fun await(watch: Watch) {
        watches.updateAndGet { it.add(watch) }
    }

    /** Answers [watch] with what has changed, unless that was done before. */
    fun answer(watch: Watch) {
        val before = watches.getAndUpdate { it.remove(watch) }
        if (watch in before) watch.tell(content)
    }
}
