package org.ragwortbank.core.model

/** Tokens that a request took, as reported by the engine. */
data class Usage(
    val promptTokens: Long,
    val outputTokens: Long,
) {
    /** Prompt and output together. */
    val totalTokens: Long get() = promptTokens + outputTokens
}
