package org.ragwortbank.core.speed

import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.ranking.DelayTerm
import org.ragwortbank.core.selection.SelectionContext

/** What the beginning of an answer takes longer because the upstream is slow, or quick, at this moment. */
class MomentaryDelay : DelayTerm {
    override fun millisAt(context: SelectionContext, upstream: UpstreamRow, state: AdapterState): Double {
        val excess = upstream.slowness?.excessAt(context.now) ?: return 0.0
        return upstream.health.delayMillis * excess
    }
}
