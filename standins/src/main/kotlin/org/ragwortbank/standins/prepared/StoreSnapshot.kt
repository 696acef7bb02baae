package org.ragwortbank.standins.prepared

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * Item of the store, which may be deleted.
 *
 * @property value Base64-encoded content; null if the item was deleted
 * @property revision revision of the store at which the item was last written or deleted
 * @property leaseId lease whose end deletes the item; 0 if the item has no lease
 */
data class StoreItem(
    val key: String,
    val value: String?,
    val revision: Long,
    val leaseId: Long = 0,
)

/**
 * Immutable content of the prepared platform's store after the change with the number [revision].
 *
 * @property items items by key, including deleted ones, which watches report
 * @property compactedRevision watches that begin before this revision are rejected, as its history is compacted
 * @property leaseIds leases that were granted and have not ended
 * @property lastLeaseId id of the lease that was granted last
 * @property era number of times that the store came back from an older copy, plus one
 */
data class StoreSnapshot(
    val revision: Long = 1,
    val items: PersistentMap<String, StoreItem> = persistentMapOf(),
    val compactedRevision: Long = 0,
    val leaseIds: PersistentSet<Long> = persistentSetOf(),
    val lastLeaseId: Long = 0,
    val era: Long = 1,
) {
    /** Returns the content after [key] is set to [value], or deleted if [value] is null. */
    fun withItem(key: String, value: String?, leaseId: Long = 0): StoreSnapshot {
        val nextRevision = revision + 1
        return copy(revision = nextRevision, items = items.put(key, StoreItem(key, value, nextRevision, leaseId)))
    }

    /** Returns the content after another lease is granted, with the id [lastLeaseId]. */
    fun withLease(): StoreSnapshot {
        val id = lastLeaseId + 1
        return copy(leaseIds = leaseIds.add(id), lastLeaseId = id)
    }

    /** Returns the content after the lease [leaseId] has ended, which deletes its items. */
    fun withLeaseEnded(leaseId: Long): StoreSnapshot =
        items.values.filter { it.leaseId == leaseId && it.value != null }
            .fold(copy(leaseIds = leaseIds.remove(leaseId))) { snapshot, item -> snapshot.withItem(item.key, null) }

    /** Whether the changes after [revision] are known: not those from before the history, nor from a lost future. */
    fun hasHistoryAfter(revision: Long): Boolean = revision in compactedRevision..this.revision

    /** Returns the items whose keys begin with [prefix], ordered by key. */
    fun itemsWithPrefix(prefix: String): List<StoreItem> =
        items.values.filter { it.key.startsWith(prefix) && it.value != null }.sortedBy { it.key }

    /** Returns the items with keys that begin with [prefix] that changed after [revision], ordered by revision. */
    fun changesAfter(prefix: String, revision: Long): List<StoreItem> =
        items.values.filter { it.key.startsWith(prefix) && it.revision > revision }.sortedBy { it.revision }
}
