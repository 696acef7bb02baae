package org.ragwortbank.core.ranking

import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.SelectionContext

/** One part of the expected time to the beginning of an answer. The upstream with the smallest sum is best. */
fun interface DelayTerm {
    /** The delay at [upstream], where the request's adapter is in [state], in milliseconds; 0 if this doesn't apply. */
    fun millisAt(context: SelectionContext, upstream: UpstreamRow, state: AdapterState): Double
}
