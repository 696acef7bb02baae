package org.ragwortbank.core.routing

import org.ragwortbank.core.entry.Upstream
import org.ragwortbank.core.model.AdapterRef

/** Chooses the upstream with the fewest requests and pays no heed to where the adapter is loaded. */
class LeastLoadedSelector : UpstreamSelector {
    override fun select(adapter: AdapterRef?, candidates: List<Upstream>): UpstreamSelection =
        UpstreamSelection(candidates.minBy { it.load }, "least loaded")
}
