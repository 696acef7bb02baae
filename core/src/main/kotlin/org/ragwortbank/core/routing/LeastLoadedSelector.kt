package org.ragwortbank.core.routing

import org.ragwortbank.core.entry.Upstream
import org.ragwortbank.core.model.AdapterRef

/** Selects the upstream with the lowest load, regardless of where the adapter is resident. */
class LeastLoadedSelector : UpstreamSelector {
    override fun select(adapter: AdapterRef?, candidates: List<Upstream>): UpstreamSelection =
        UpstreamSelection(candidates.minBy { it.estimatedLoad }, "least loaded")
}
