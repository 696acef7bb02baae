package org.ragwortbank.core.routing

import org.ragwortbank.core.entry.Upstream
import org.ragwortbank.core.model.AdapterRef

/** Chooses the upstream with the fewest requests and pays no heed to where the adapter is loaded. */
class LeastLoadedChoice : UpstreamChoice {
    override fun choose(adapter: AdapterRef?, candidates: List<Upstream>): Choice =
        Choice(candidates.minBy { it.estimatedLoad }, "least loaded")
}
