package org.ragwortbank.core.locality

import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.ranking.DelayTerm
import org.ragwortbank.core.selection.SelectionContext

/**
 * The wait behind the adapters whose load is requested at an upstream.
 *
 * Where quick upstreams are preferred, they would otherwise be asked for nearly all loads, while the placers beside the
 * others have nothing to do.
 */
class LoadBacklogDelay : DelayTerm {
    override fun millisAt(context: SelectionContext, upstream: UpstreamRow, state: AdapterState): Double {
        if (state.isUsable || state == AdapterState.LOADING || !context.speeds.isUneven) return 0.0
        val requested = context.adapterStates.freshDigest(upstream)?.requestedLoads ?: 0
        val isAsked = context.request.loadingUpstream == upstream.registration.id
        return (if (isAsked) requested - 1 else requested).coerceAtLeast(0) * MILLIS_PER_LOAD
    }

    private companion object {
        /** A load takes about four times as long, and an engine has four in transit. */
        const val MILLIS_PER_LOAD = 70.0
    }
}
