package org.ragwortbank.standins.prepared

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * An item of the store.
 *
 * @property value Base64 text; null once the item is deleted
 * @property lease 0 when the item belongs to none
 */
data class StoreItem(
    val key: String,
    val value: String?,
    val revision: Long,
    val lease: Long = 0,
)

/**
 * Content of the prepared platform's store after change number [revision].
 *
 * @property items by key, those that were deleted included
 * @property forgotten changes up to this one are no longer told
 * @property lastLease number of the newest lease
 */
data class StoreData(
    val revision: Long = 1,
    val items: PersistentMap<String, StoreItem> = persistentMapOf(),
    val forgotten: Long = 0,
    val lastLease: Long = 0,
) {
    /** The content after [key] was set to [value]; a null deletes it. */
    fun write(key: String, value: String?, lease: Long = 0): StoreData {
        val next = revision + 1
        return copy(revision = next, items = items.put(key, StoreItem(key, value, next, lease)))
    }

    /** The content after [lease] has ended. */
    fun end(lease: Long): StoreData =
        items.values.filter { it.lease == lease && it.value != null }.fold(this) { data, item ->
            data.write(item.key, null)
        }

    /** Items whose keys begin with [prefix], in the order of their keys. */
    fun range(prefix: String): List<StoreItem> =
        items.values.filter { it.key.startsWith(prefix) && it.value != null }.sortedBy { it.key }

    /** Changes after [revision] of keys that begin with [prefix], in their order. */
    fun changes(prefix: String, revision: Long): List<StoreItem> =
        items.values.filter { it.key.startsWith(prefix) && it.revision > revision }.sortedBy { it.revision }
}
