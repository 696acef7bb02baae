package org.ragwortbank.node.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Identifies one attempt at a request. */
@Serializable
internal data class WireRun(
    val incarnation: String,
    val sequence: Long,
    val attempt: Int,
)

/** Origin of a credit grant: the bucket owner's incarnation and the time of the grant by the owner's clock. */
@Serializable
internal data class WireGrantOrigin(
    val home: String,
    val atNanos: Long,
)

/** One version of an adapter. */
@Serializable
internal data class WireAdapter(
    val name: String,
    val version: String,
)

/** An HTTP header field. */
@Serializable
internal data class WireHeader(
    val name: String,
    val value: String,
)

/** Numbers of tokens that a request consumed. */
@Serializable
internal data class WireUsage(
    val prompt: Long,
    val output: Long,
)

/** A text generation call. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class WireGeneration(
    val chat: Boolean,
    val stream: Boolean,
    val promptTokens: Long,
    val maxTokens: Long,
    val usageWanted: Boolean,
    @ByteString val body: ByteArray,
)

/** A call of a service that is not an engine. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class WireServiceCall(
    val method: String,
    val path: String,
    val headers: List<WireHeader>,
    @ByteString val body: ByteArray,
)
