package org.ragwortbank.clients.kv

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Reads one key, or all keys below [end] when it is given. */
@Serializable
data class RangeRequest(
    val key: String,
    @SerialName("range_end") val end: String? = null,
)

/** Stores one value. */
@Serializable
data class PutRequest(
    val key: String,
    val value: String,
)

/** Deletes one key. */
@Serializable
data class DeleteRequest(
    val key: String,
)

/** One operation of a transaction; exactly one of the fields is set. */
@Serializable
data class RequestOp(
    @SerialName("request_range") val range: RangeRequest? = null,
    @SerialName("request_put") val put: PutRequest? = null,
    @SerialName("request_delete_range") val delete: DeleteRequest? = null,
)

/** A condition of a transaction: the key's modification revision equals [revision]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class Compare(
    val key: String,
    @SerialName("mod_revision") val revision: String,
    @EncodeDefault val target: String = "MOD",
    @EncodeDefault val result: String = "EQUAL",
)

/** Performs [success] if all of [compare] hold. */
@Serializable
data class TxnRequest(
    val compare: List<Compare> = emptyList(),
    val success: List<RequestOp> = emptyList(),
)

/** A stored key and value, both in Base64. */
@Serializable
data class KeyValue(
    val key: String,
    val value: String = "",
    @SerialName("mod_revision") val modRevision: String = "0",
)

/** Response to a [RangeRequest]. */
@Serializable
data class RangeResponse(
    val kvs: List<KeyValue> = emptyList(),
)

/** Response to one operation of a transaction. */
@Serializable
data class ResponseOp(
    @SerialName("response_range") val range: RangeResponse? = null,
)

/** Response to a [TxnRequest]. */
@Serializable
data class TxnResponse(
    val succeeded: Boolean = false,
    val responses: List<ResponseOp> = emptyList(),
)

/** Opens a watch. */
@Serializable
data class WatchRequest(
    @SerialName("create_request") val create: WatchCreate,
)

/** The keys that a watch reports, from [key] inclusive to [end] exclusive, both in Base64. */
@Serializable
data class WatchCreate(
    val key: String,
    @SerialName("range_end") val end: String,
) {
    companion object {
        /** A watch over all keys that begin with [prefix]. */
        fun withPrefix(prefix: String): WatchCreate {
            val end = prefix.dropLast(1) + (prefix.last() + 1)
            return WatchCreate(prefix.encodeBase64(), end.encodeBase64())
        }
    }
}

/** One line of a watch. */
@Serializable
data class WatchResponse(
    val result: WatchResult,
)

/** Content of one line of a watch. */
@Serializable
data class WatchResult(
    val created: Boolean = false,
    val events: List<WatchEvent> = emptyList(),
)

/** A change of one key. */
@Serializable
data class WatchEvent(
    val kv: KeyValue,
    val type: String = "PUT",
)
