package org.ragwortbank.core.routing

import org.ragwortbank.core.entry.Upstream
import org.ragwortbank.core.model.AdapterRef

/** Selects the upstream that serves a request. */
fun interface UpstreamSelector {
    /**
     * Selects one of [candidates], which must not be empty, for a request on [adapter].
     *
     * [adapter] is null for a plain service.
     */
    fun select(adapter: AdapterRef?, candidates: List<Upstream>): UpstreamSelection
}
