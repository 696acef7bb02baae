package org.ragwortbank.core.entry

/**
 * The part of an answer that has been forwarded to the caller.
 *
 * @property started whether the answer's status and headers have been forwarded
 */
data class Delivery(
    val started: Boolean = false,
    val chunksSent: Long = 0,
    val outputTokens: Long = 0,
)
