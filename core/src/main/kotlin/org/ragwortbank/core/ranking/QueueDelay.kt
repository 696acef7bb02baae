package org.ragwortbank.core.ranking

import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.SelectionContext

/** The wait behind the requests that an upstream has already. */
class QueueDelay : DelayTerm {
    override fun millisAt(context: SelectionContext, upstream: UpstreamRow, state: AdapterState): Double {
        val perRequest = if (context.service?.engine != null) ENGINE_REQUEST_MILLIS else PLAIN_REQUEST_MILLIS
        val overflow = (upstream.load + 1 - upstream.registration.slots).coerceAtLeast(0)
        return upstream.load * perRequest + overflow * OVERFLOW_MILLIS
    }

    private companion object {
        const val ENGINE_REQUEST_MILLIS = 4.0
        const val PLAIN_REQUEST_MILLIS = 15.0
        const val OVERFLOW_MILLIS = 60.0
    }
}
