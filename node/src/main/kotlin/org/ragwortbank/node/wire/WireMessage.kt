package org.ragwortbank.node.wire

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Content of a frame that one process sends to another. */
@Serializable
internal sealed interface WireMessage {
    /** First frame of a connection, sent by the process that opened it. */
    @Serializable
    @SerialName("hello")
    data class Hello(val protocol: Int, val role: String, val name: String) : WireMessage

    @Serializable
    @SerialName("run")
    data class Dispatch(
        val run: WireRun,
        val account: String,
        val route: String,
        val adapter: WireAdapter? = null,
        val idempotent: Boolean,
        val generate: WireGeneration? = null,
        val plain: WireServiceCall? = null,
    ) : WireMessage

    @Serializable
    @SerialName("cancel")
    data class Cancel(val run: WireRun) : WireMessage

    @Serializable
    @SerialName("started")
    data class Started(
        val run: WireRun,
        val status: Int,
        val headers: List<WireHeader>,
        val streamed: Boolean,
    ) : WireMessage

    @OptIn(ExperimentalSerializationApi::class)
    @Serializable
    @SerialName("chunk")
    class Chunk(val run: WireRun, val index: Long, val tokens: Long, @ByteString val data: ByteArray) : WireMessage

    @Serializable
    @SerialName("done")
    data class Done(val run: WireRun, val chunks: Long, val usage: WireUsage? = null) : WireMessage

    @Serializable
    @SerialName("failed")
    data class Failed(
        val run: WireRun,
        val code: Int,
        val execution: String,
        val detail: String,
        val retryAfterMs: Long? = null,
    ) : WireMessage

    @Serializable
    @SerialName("digest")
    data class Digest(
        val resident: List<WireAdapter>,
        val queued: Int,
        val running: Int,
        val accepting: Boolean,
    ) : WireMessage

    @Serializable
    @SerialName("ask")
    data class CreditRequest(val ask: Long, val account: String, val needs: List<Long>) : WireMessage

    @Serializable
    @SerialName("grant")
    data class CreditGrant(
        val ask: Long,
        val account: String,
        val granted: Long,
        val stamp: WireGrantOrigin,
        val retryAfterMs: Long? = null,
    ) : WireMessage

    @Serializable
    @SerialName("nothome")
    data class NotBucketOwner(val ask: Long, val account: String) : WireMessage

    @Serializable
    @SerialName("settle")
    data class CreditReturn(val account: String, val tokens: Long, val stamp: WireGrantOrigin) : WireMessage

    @Serializable
    @SerialName("bucketask")
    data class BucketRequest(val epoch: Long, val account: String) : WireMessage

    @Serializable
    @SerialName("bucket")
    data class BucketHandover(
        val epoch: Long,
        val account: String,
        val level: Long? = null,
        val unspent: Long,
    ) : WireMessage

    @Serializable
    @SerialName("config")
    data class ConfigVersionNotice(val version: Long) : WireMessage
}
