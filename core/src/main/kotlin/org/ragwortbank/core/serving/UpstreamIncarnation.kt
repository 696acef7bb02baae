package org.ragwortbank.core.serving

/** One start of an upstream, at [startedMillis] in Unix milliseconds; 0 when its registration doesn't say. */
data class UpstreamIncarnation(
    val upstream: UpstreamId,
    val startedMillis: Long,
)
