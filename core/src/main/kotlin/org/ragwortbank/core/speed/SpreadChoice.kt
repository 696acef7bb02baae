package org.ragwortbank.core.speed

import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.selection.Candidate
import org.ragwortbank.core.selection.Choice
import org.ragwortbank.core.selection.LowestDelay
import org.ragwortbank.core.selection.SelectionContext
import kotlin.time.DurationUnit

/**
 * Chooses the better of two candidates that a hash of the request's ID picks among those that are alike.
 *
 * Many gateways know the same digests, which are older than the time that a request takes. If each chose the best, all
 * would choose the same upstream until the next digest. Where an adapter is loaded stays decided by the delay alone.
 */
class SpreadChoice : Choice {
    private val lowest = LowestDelay()

    override fun choose(context: SelectionContext, candidates: List<Candidate>): Candidate? {
        val best = lowest.choose(context, candidates)
        if (best == null || !best.state.isUsable || !context.speeds.isUneven) return best
        val limit = best.expectedMillis + unnoticedMillis(context)
        val requestHash = RendezvousHash.hashOf(context.request.call.id)
        val picked = candidates
            .filter { it.state.isUsable && it.expectedMillis <= limit }
            .sortedBy { RendezvousHash.score(requestHash, it.row.registration.nameHash) }
            .take(PICKED)
        return lowest.choose(context, picked)
    }

    private fun unnoticedMillis(context: SelectionContext): Double =
        context.request.route.targetLatency.toDouble(DurationUnit.MILLISECONDS) / UNNOTICED_SHARE

    private companion object {
        const val PICKED = 2

        /** Candidates that differ by less than this part of the target latency are alike. */
        const val UNNOTICED_SHARE = 8
    }
}
