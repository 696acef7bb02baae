package org.ragwortbank.core.routing

import org.ragwortbank.core.entry.Upstream

/** A chosen upstream and the reason, as it stands in the log. */
data class UpstreamSelection(
    val upstream: Upstream,
    val reason: String,
)
