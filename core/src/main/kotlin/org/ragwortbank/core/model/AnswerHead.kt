package org.ragwortbank.core.model

import kotlinx.collections.immutable.ImmutableList

/** Status and header fields of an answer; [streamed] tells whether the body follows piece by piece. */
data class AnswerHead(
    val status: Int,
    val headers: ImmutableList<Header>,
    val streamed: Boolean,
)
