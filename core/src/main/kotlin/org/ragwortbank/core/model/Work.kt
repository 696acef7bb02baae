package org.ragwortbank.core.model

import kotlinx.collections.immutable.ImmutableList
import kotlinx.io.bytestring.ByteString

/** What a caller asks an upstream to do. */
sealed interface Work {
    /** The body of the request, as the caller sent it. */
    val body: ByteString

    /**
     * Text generation by an engine.
     *
     * @property promptTokens estimate of the prompt's length in tokens
     * @property maxTokens most tokens that the engine may generate
     * @property includeUsage whether the caller asked for a usage report at the end of the stream
     */
    data class Generation(
        val api: GenerationApi,
        val isStreamed: Boolean,
        val promptTokens: Long,
        val maxTokens: Long,
        val includeUsage: Boolean,
        override val body: ByteString,
    ) : Work

    /** A call of a plain service; [path] is relative to the service and includes the query. */
    data class ServiceCall(
        val method: String,
        val path: String,
        val headers: ImmutableList<Header>,
        override val body: ByteString,
    ) : Work
}
