package org.ragwortbank.core.admission

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.loadsBefore
import org.ragwortbank.core.selection.Candidate
import org.ragwortbank.core.selection.SelectionContext
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How long a request will wait before it can begin.
 *
 * @property wait expected wait from now
 * @property age age of what it is based on
 * @property backlog adapters whose load comes before
 */
data class StartEstimate(
    val wait: Duration,
    val age: Duration,
    val backlog: Int,
) {
    /** The shortest wait that is possible if the backlog has been drained since then. */
    val earliest: Duration get() = (wait - age).coerceAtLeast(Duration.ZERO)
}

/** Estimates when a request can begin. */
fun interface StartEstimator {
    /** The estimate at the best of [candidates]; null if one of them has a free place, or nothing is known of one. */
    fun estimate(context: SelectionContext, candidates: PersistentList<Candidate>): StartEstimate?
}

/** Estimates by the adapters that wait for a load at each engine, and by the slots that they can take. */
class LoadQueueEstimator : StartEstimator {
    override fun estimate(context: SelectionContext, candidates: PersistentList<Candidate>): StartEstimate? {
        val estimates = candidates.map { estimateAt(context, it) ?: return null }
        return estimates.minByOrNull { it.earliest }
    }

    private fun estimateAt(context: SelectionContext, candidate: Candidate): StartEstimate? {
        val row = candidate.row
        val digest = row.digest
        val receivedAt = row.digestReceivedAt
        val isAwaited = candidate.state == AdapterState.ABSENT || candidate.state == AdapterState.CACHED
        if (digest == null || receivedAt == null || !isAwaited) return null
        val before = context.request.loadsBefore(digest)
        val shortage = (before + 1 - digest.freeSlots).coerceAtLeast(0)
        val loadRounds = ceil((before + 1.0) / LOADS_AT_ONCE)
        return StartEstimate(LOAD_TIME * loadRounds + SLOT_TIME * shortage, context.now - receivedAt, before)
    }

    private companion object {
        /** Loads that an engine is given at the same time. */
        const val LOADS_AT_ONCE = 4.0
        val LOAD_TIME = 300.milliseconds

        /** Usual time between two slots of an engine that can be taken. */
        val SLOT_TIME = 600.milliseconds
    }
}
