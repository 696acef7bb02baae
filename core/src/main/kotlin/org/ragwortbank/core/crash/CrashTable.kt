package org.ragwortbank.core.crash

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.UpstreamIncarnation
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The latest crashes of upstreams, and the requests that may have caused them.
 *
 * Each crash has one cause: those that a found cause explains count against no other trait. They stay as evidence for a
 * broader one, which would explain later crashes too.
 */
data class CrashTable(val rows: PersistentMap<UpstreamIncarnation, CrashRow> = persistentMapOf()) {
    /** Whether any crash may still turn out to have another cause than is known. */
    val hasEvidence: Boolean get() = rows.values.any { !it.isDismissed }

    /** This table with the row of [crash] replaced by the result of [change], which gets a new row if there is none. */
    fun update(
        crash: UpstreamIncarnation,
        place: CrashPlace,
        at: Timestamp,
        change: (CrashRow) -> CrashRow,
    ): CrashTable {
        val existing = rows[crash]
        val row = existing?.copy(at = minOf(existing.at, at)) ?: CrashRow(crash, place, at)
        val bounded = if (existing == null && rows.size >= MAX_ROWS) withoutOldest() else rows
        return CrashTable(bounded.put(crash, change(row)))
    }

    /** This table after a request with [traits] was answered, up to [until] at least without a crash. */
    fun clear(traits: Collection<CrashTrait>, until: Timestamp): CrashTable =
        rows.values
            .filter { row -> row.at <= until && traits.any(row::mayBeCausedBy) }
            .fold(this) { table, row ->
                CrashTable(table.rows.put(row.crash, row.copy(cleared = row.cleared.addAll(traits))))
            }

    /** This table after [crash] turned out to be none, because the upstream has answered at [now]. */
    fun dismissIfAlive(crash: UpstreamIncarnation, now: Timestamp): CrashTable {
        val row = rows[crash]?.takeIf { it.isOpen && now - it.at in SIGN_OF_LIFE } ?: return this
        return CrashTable(rows.put(crash, row.copy(isDismissed = true)))
    }

    /**
     * This table with all crashes that [trait] may have caused explained by it, if their cause was unknown or is one of
     * the traits that it replaces.
     */
    fun explainedBy(trait: CrashTrait): CrashTable {
        val replaced = replacedBy(trait)
        val explained = rows.values.filter { it.mayBeCausedBy(trait) && (it.isOpen || it.explanation in replaced) }
        if (explained.isEmpty()) return this
        return CrashTable(explained.fold(rows) { kept, row -> kept.put(row.crash, row.copy(explanation = trait)) })
    }

    /** Traits that were taken for causes and all of whose crashes the broader [trait] explains as well. */
    fun replacedBy(trait: CrashTrait): Set<CrashTrait> =
        rows.values
            .filter { it.explanation != null && !it.isDismissed }
            .groupBy { it.explanation }
            .filterValues { explained -> explained.all { it.isBetterExplainedBy(trait) } }
            .keys
            .filterNotNull()
            .toSet()

    /** This table without the crashes that are too long ago. */
    fun withoutExpired(now: Timestamp): CrashTable {
        val expired = rows.values.filter { now - it.at > ROW_LIFETIME }
        return if (expired.isEmpty()) this else CrashTable(expired.fold(rows) { kept, row -> kept.remove(row.crash) })
    }

    /** Whether several crashes may have been caused by one of [traits]. */
    fun isSuspect(traits: Collection<CrashTrait>): Boolean =
        traits.any { trait -> rows.values.count { it.mayBeCausedBy(trait) } >= SUSPECT_CRASHES }

    /**
     * The trait that the crashes have in common; null while there is none.
     *
     * @param settleTime how long the last needed crash must lie back, so that answers at other gateways are known
     * @param hostCounts number of hosts of each service
     */
    fun cause(now: Timestamp, settleTime: Duration, hostCounts: Map<ServiceName, Int>): Cause? {
        val settled = rows.values.filter { !it.isDismissed && now - it.at >= settleTime }.sortedBy { it.at }
        return CauseSearch(settled, this, hostCounts).find()
    }

    private fun withoutOldest(): PersistentMap<UpstreamIncarnation, CrashRow> =
        rows.values.minByOrNull { it.at }?.let { rows.remove(it.crash) } ?: rows

    private companion object {
        const val MAX_ROWS = 32
        val ROW_LIFETIME = 10.minutes
        const val SUSPECT_CRASHES = 2

        /** Parts of earlier answers arrive before this time; after it, an upstream may have restarted. */
        val SIGN_OF_LIFE = 100.milliseconds..1.seconds
    }
}
