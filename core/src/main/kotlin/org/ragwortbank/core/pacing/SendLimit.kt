package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.SelectionContext

/** A bound on what this gateway gives an upstream at a time. A request that meets it waits or goes elsewhere. */
fun interface SendLimit {
    /** Requests like this one that [upstream] may be given now; [UNBOUNDED] where the limit isn't in force. */
    fun roomFor(context: SelectionContext, upstream: UpstreamRow): Int

    companion object {
        /** Room where nothing bounds it. */
        const val UNBOUNDED = Int.MAX_VALUE
    }
}
