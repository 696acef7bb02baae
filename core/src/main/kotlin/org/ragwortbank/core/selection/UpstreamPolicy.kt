package org.ragwortbank.core.selection

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.eligibility.Exclusion
import org.ragwortbank.core.eligibility.ExclusionReason
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.pacing.SendLimit
import org.ragwortbank.core.ranking.DelayTerm
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp

/**
 * How a gateway gets from a request to an upstream: who may serve it, how much each may be given now, and which of
 * these is best.
 *
 * @property observers learn from each attempt what the other parts decide by
 */
data class UpstreamPolicy(
    val exclusions: PersistentList<Exclusion> = persistentListOf(),
    val limits: PersistentList<SendLimit> = persistentListOf(),
    val terms: PersistentList<DelayTerm> = persistentListOf(),
    val choice: Choice = LowestDelay(),
    val observers: PersistentList<UpstreamObserver> = persistentListOf(),
) {
    /** Compares the upstreams of the request's service. */
    fun select(context: SelectionContext): Selection {
        val members = context.tables.upstreamsByService[context.request.service].orEmpty()
            .mapNotNull { context.tables.upstreams[it] }
            .mapNotNull { memberOrNull(context, it) }
            .toPersistentList()
        val candidates = members
            .filter { it.reasons.isEmpty() }
            .map { candidate(context, it.row) }
            .toPersistentList()
        return Selection(members, candidates, choice.choose(context, candidates))
    }

    /** The tables after [request] was sent to [upstream]. */
    fun recordSent(tables: GatewayTables, upstream: UpstreamId, request: RequestRow, now: Timestamp): GatewayTables =
        tables.updateUpstream(upstream) { row ->
            observers.fold(row) { observed, observer -> observer.onSent(observed, request, now) }
        }

    /** The tables after the present attempt of [request] came to [outcome]; unchanged if it has none. */
    fun recordOutcome(
        tables: GatewayTables,
        request: RequestRow,
        outcome: AttemptOutcome,
        now: Timestamp,
    ): GatewayTables {
        val upstream = request.upstream ?: return tables
        return tables.updateUpstream(upstream) { row ->
            observers.fold(row) { observed, observer -> observer.onOutcome(observed, request, outcome, now) }
        }
    }

    private fun memberOrNull(context: SelectionContext, upstream: UpstreamRow): Member? {
        val reasons = exclusions.mapNotNull { it.reasonFor(context, upstream) }
        if (reasons.any { it.isLasting }) return null
        return Member(upstream, (reasons + limitReasons(context, upstream, reasons)).toPersistentSet())
    }

    /** A limit is asked only where nothing else excludes the upstream. */
    private fun limitReasons(
        context: SelectionContext,
        upstream: UpstreamRow,
        reasons: List<ExclusionReason>,
    ): PersistentSet<ExclusionReason> {
        val isLimited = reasons.isEmpty() && limits.any { it.roomFor(context, upstream) <= 0 }
        return if (isLimited) persistentSetOf(ExclusionReason.AT_LIMIT) else persistentSetOf()
    }

    private fun candidate(context: SelectionContext, upstream: UpstreamRow): Candidate {
        val state = context.adapterStates.at(upstream)
        return Candidate(upstream, state, terms.sumOf { it.millisAt(context, upstream, state) })
    }
}
