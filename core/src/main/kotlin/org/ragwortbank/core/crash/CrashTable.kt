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
 *
 * @property suspectsVersion rises with each change of the suspects of a crash
 */
data class CrashTable(
    val rows: PersistentMap<UpstreamIncarnation, CrashRow> = persistentMapOf(),
    val suspectsVersion: Long = 0,
) {
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
        val changed = change(row)
        val bounded = rows.remove(crash).withoutOldest(changed.suspects.size)
        return CrashTable(bounded.put(crash, changed), suspectsVersion + 1)
    }

    /** This table after a request with [traits] was answered, up to [until] at least without a crash. */
    fun clear(traits: Collection<CrashTrait>, until: Timestamp): CrashTable =
        rows.values
            .filter { row -> row.at <= until && traits.any(row::mayBeCausedBy) }
            .fold(this) { table, row ->
                table.copy(rows = table.rows.put(row.crash, row.copy(cleared = row.cleared.addAll(traits))))
            }

    /** This table after [crash] turned out to be none, because the upstream has answered at [now]. */
    fun dismissIfAlive(crash: UpstreamIncarnation, now: Timestamp): CrashTable {
        val row = rows[crash]?.takeIf { it.isOpen && now - it.at in SIGN_OF_LIFE } ?: return this
        return copy(rows = rows.put(crash, row.copy(isDismissed = true)))
    }

    /**
     * This table with all crashes that [trait] may have caused explained by it, if their cause was unknown or is one of
     * the traits that it replaces.
     */
    fun explainedBy(trait: CrashTrait): CrashTable {
        val replaced = replacedBy(trait)
        val explained = rows.values.filter { it.mayBeCausedBy(trait) && (it.isOpen || it.explanation in replaced) }
        if (explained.isEmpty()) return this
        return copy(rows = explained.fold(rows) { kept, row -> kept.put(row.crash, row.copy(explanation = trait)) })
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
        if (expired.isEmpty()) return this
        return copy(rows = expired.fold(rows) { kept, row -> kept.remove(row.crash) })
    }

    /** Whether a request with [trait] was lost in any crash, whether or not the trait was cleared since. */
    fun isSuspected(trait: CrashTrait): Boolean = rows.values.any { trait in it.suspects }

    /** Whether several crashes may have been caused by one of [traits]. */
    fun isSuspect(traits: Sequence<CrashTrait>): Boolean =
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

    /** Rows beside which one with [suspects] fits. */
    private fun PersistentMap<UpstreamIncarnation, CrashRow>.withoutOldest(
        suspects: Int,
    ): PersistentMap<UpstreamIncarnation, CrashRow> {
        val isFull = size >= MAX_ROWS || values.sumOf { it.suspects.size } + suspects > MAX_SUSPECTS
        val oldest = values.minByOrNull { it.at }?.takeIf { isFull } ?: return this
        return remove(oldest.crash).withoutOldest(suspects)
    }

    private companion object {
        const val MAX_ROWS = 32

        /** Suspects of all crashes together: enough crashes to show any cause, with all that each may have. */
        const val MAX_SUSPECTS = 5 * CrashRow.MAX_TRAITS
        val ROW_LIFETIME = 10.minutes
        const val SUSPECT_CRASHES = 2

        /** Parts of earlier answers arrive before this time; after it, an upstream may have restarted. */
        val SIGN_OF_LIFE = 100.milliseconds..1.seconds
    }
}
