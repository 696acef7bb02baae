package org.ragwortbank.core.entry

/** What has been passed on of an answer. */
data class Delivery(
    val started: Boolean = false,
    val chunksSent: Long = 0,
    val outputTokens: Long = 0,
)
