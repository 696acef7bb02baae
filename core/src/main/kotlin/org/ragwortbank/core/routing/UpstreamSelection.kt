package org.ragwortbank.core.routing

import org.ragwortbank.core.entry.Upstream

/**
 * The upstream selected for a request.
 *
 * @property reason why it was selected, for the log
 */
data class UpstreamSelection(
    val upstream: Upstream,
    val reason: String,
)
