package org.ragwortbank.core.entry

/** What has been passed on of an answer. */
data class Delivery(
    val started: Boolean = false,
    val chunks: Long = 0,
    val tokens: Long = 0,
)
