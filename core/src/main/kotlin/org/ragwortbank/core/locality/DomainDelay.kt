package org.ragwortbank.core.locality

import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.ranking.DelayTerm
import org.ragwortbank.core.selection.SelectionContext
import kotlin.time.DurationUnit

/**
 * What a request accepts to stay within its gateway's failure domain: a part of the route's target latency.
 *
 * Beside terms that grow with the load, a constant makes requests overflow to other domains by degrees. It applies to
 * upstreams that can serve at once; where an adapter is loaded is decided without it, since a load costs more than a
 * request between domains.
 */
class DomainDelay : DelayTerm {
    override fun millisAt(context: SelectionContext, upstream: UpstreamRow, state: AdapterState): Double {
        val isOwn = upstream.registration.domain == context.tables.identity.domain
        if (isOwn || !state.isUsable || !context.speeds.isUneven) return 0.0
        return context.request.route.targetLatency.toDouble(DurationUnit.MILLISECONDS) / ACCEPTED_PART
    }

    private companion object {
        /** A delay of this part of the target latency rarely makes an answer late. */
        const val ACCEPTED_PART = 8
    }
}
