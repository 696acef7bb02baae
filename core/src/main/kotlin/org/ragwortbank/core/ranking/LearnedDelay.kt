package org.ragwortbank.core.ranking

import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.SelectionContext

/** The moving average of the time to the first part of past answers. */
class LearnedDelay : DelayTerm {
    override fun millisAt(context: SelectionContext, upstream: UpstreamRow, state: AdapterState): Double =
        upstream.health.delayMillis
}
