package org.ragwortbank.core.routing

import org.ragwortbank.core.entry.Upstream
import org.ragwortbank.core.model.AdapterRef

/** Decides which upstream serves a request. */
fun interface UpstreamSelector {
    /** The choice for [adapter], or for a plain service when it is null, among [candidates], which are not empty. */
    fun select(adapter: AdapterRef?, candidates: List<Upstream>): UpstreamSelection
}
