package org.ragwortbank.core.model

import kotlinx.collections.immutable.ImmutableList

/** Status and header fields of a response; [isStreamed] tells whether the caller gets its body as a stream. */
data class ResponseHead(
    val status: Int,
    val headers: ImmutableList<Header>,
    val isStreamed: Boolean,
)
