package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.SelectionContext

/** Bounds this gateway's requests under way at an upstream by its pace. */
class PaceLimit : SendLimit {
    override fun roomFor(context: SelectionContext, upstream: UpstreamRow): Int {
        val pace = upstream.pace
        val isLimited = pace != null && pace.phase != PacePhase.FULL && isPaced(context.tables, context.request.service)
        if (pace == null || !isLimited) return SendLimit.UNBOUNDED
        return (pace.allowed - upstream.inFlight).coerceAtLeast(0)
    }
}
