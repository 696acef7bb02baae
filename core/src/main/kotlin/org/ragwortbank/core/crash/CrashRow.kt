package org.ragwortbank.core.crash

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.serving.UpstreamIncarnation
import org.ragwortbank.core.tick.Timestamp

/**
 * A crash of an upstream and the requests that may have caused it.
 *
 * @property at when the first request was lost, as far as is known
 * @property suspects requests that were lost there, by all gateways
 * @property ownSuspects those of this gateway, last added to at [ownChangedAt]
 * @property cleared traits of which a later request was answered, so that they didn't cause the crash
 * @property explanation the trait that was taken for the cause; null while the cause is unknown
 * @property isDismissed whether the upstream turned out to run on, so that this is no crash
 */
data class CrashRow(
    val crash: UpstreamIncarnation,
    val place: CrashPlace,
    val at: Timestamp,
    val suspects: PersistentMap<CrashTrait, SuspectRequests> = persistentMapOf(),
    val ownSuspects: PersistentMap<CrashTrait, SuspectRequests> = persistentMapOf(),
    val ownChangedAt: Timestamp? = null,
    val cleared: PersistentSet<CrashTrait> = persistentSetOf(),
    val explanation: CrashTrait? = null,
    val isDismissed: Boolean = false,
) {
    /** Whether the cause is searched for. */
    val isOpen: Boolean get() = explanation == null && !isDismissed

    /** Whether [trait] may be the cause, also in place of the one that was found. */
    fun mayBeCausedBy(trait: CrashTrait): Boolean = !isDismissed && trait in suspects && trait !in cleared

    /** Traits that may be the cause. */
    val possibleCauses: Set<CrashTrait> get() = if (isDismissed) emptySet() else suspects.keys - cleared

    /** Whether [trait] is broader than the one that was found and may be the cause as well. */
    fun isBetterExplainedBy(trait: CrashTrait): Boolean {
        val found = explanation?.let { suspects[it] }
        val other = suspects[trait]
        return found != null && other != null && mayBeCausedBy(trait) && other.breadth > found.breadth
    }

    /** This row with [added] among the suspects, seen by this gateway itself if [isOwn]. */
    fun withSuspects(
        added: PersistentMap<CrashTrait, SuspectRequests>,
        isOwn: Boolean,
        now: Timestamp,
    ): CrashRow {
        val all = copy(suspects = suspects.joinedWith(added))
        return if (isOwn) all.copy(ownSuspects = ownSuspects.joinedWith(added), ownChangedAt = now) else all
    }

    private fun PersistentMap<CrashTrait, SuspectRequests>.joinedWith(
        added: PersistentMap<CrashTrait, SuspectRequests>,
    ): PersistentMap<CrashTrait, SuspectRequests> =
        added.entries.fold(this) { all, (trait, requests) ->
            val existing = all[trait]
            when {
                existing != null -> all.put(trait, existing + requests)
                all.size >= MAX_TRAITS -> all
                else -> all.put(trait, requests)
            }
        }

    companion object {
        /** Parts that the head of one request can hold. */
        const val MAX_TRAITS = 8_192
    }
}
