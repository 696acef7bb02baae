package org.ragwortbank.standins.prepared

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * An item of the store.
 *
 * @property value Base64 text; null once the item is deleted
 * @property leaseId 0 when the item belongs to none
 */
data class StoreItem(
    val key: String,
    val value: String?,
    val revision: Long,
    val leaseId: Long = 0,
)

/**
 * Content of the prepared platform's store after change number [revision].
 *
 * @property items by key, those that were deleted included
 * @property compactedRevision changes up to this one are no longer told
 * @property lastLeaseId number of the newest lease
 */
data class StoreSnapshot(
    val revision: Long = 1,
    val items: PersistentMap<String, StoreItem> = persistentMapOf(),
    val compactedRevision: Long = 0,
    val lastLeaseId: Long = 0,
) {
    /** The content after [key] was set to [value]; a null deletes it. */
    fun withItem(key: String, value: String?, leaseId: Long = 0): StoreSnapshot {
        val nextRevision = revision + 1
        return copy(revision = nextRevision, items = items.put(key, StoreItem(key, value, nextRevision, leaseId)))
    }

    /** The content after [leaseId] has ended. */
    fun withLeaseEnded(leaseId: Long): StoreSnapshot =
        items.values.filter { it.leaseId == leaseId && it.value != null }.fold(this) { snapshot, item ->
            snapshot.withItem(item.key, null)
        }

    /** Items whose keys begin with [prefix], in the order of their keys. */
    fun itemsWithPrefix(prefix: String): List<StoreItem> =
        items.values.filter { it.key.startsWith(prefix) && it.value != null }.sortedBy { it.key }

    /** Changes after [revision] of keys that begin with [prefix], in their order. */
    fun changesAfter(prefix: String, revision: Long): List<StoreItem> =
        items.values.filter { it.key.startsWith(prefix) && it.revision > revision }.sortedBy { it.revision }
}
