package org.ragwortbank.core.model

import kotlinx.collections.immutable.ImmutableList
import kotlinx.io.bytestring.ByteString

/** The part of a caller's request that an upstream executes. */
sealed interface Work {
    /** The body of the request, as the caller sent it. */
    val body: ByteString

    /**
     * Text generation by an engine.
     *
     * @property isStreamed whether the caller asked for the answer as a stream
     * @property promptTokens estimated length of the prompt in tokens
     * @property maxTokens upper bound of the tokens that the engine may generate
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

    /** An HTTP call of a plain service; [path] is relative to the service and includes the query. */
    data class ServiceCall(
        val method: String,
        val path: String,
        val headers: ImmutableList<Header>,
        override val body: ByteString,
    ) : Work
}
