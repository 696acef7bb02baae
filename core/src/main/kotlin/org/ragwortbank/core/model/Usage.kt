package org.ragwortbank.core.model

/** Tokens that a request consumed, as reported by the engine. */
data class Usage(
    val promptTokens: Long,
    val outputTokens: Long,
) {
    /** Sum of prompt and output tokens. */
    val totalTokens: Long get() = promptTokens + outputTokens
}
