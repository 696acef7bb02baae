package org.ragwortbank.core.model

import kotlinx.collections.immutable.ImmutableList

/** Status and header fields of an answer; [isStreamed] tells whether the body follows piece by piece. */
data class ResponseHead(
    val status: Int,
    val headers: ImmutableList<Header>,
    val isStreamed: Boolean,
)
