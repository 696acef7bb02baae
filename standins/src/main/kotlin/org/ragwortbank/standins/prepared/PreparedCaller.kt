package org.ragwortbank.standins.prepared

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.core.model.Header
import org.ragwortbank.standins.fleet.BlockingHttp

/** Sends requests to a [PreparedDeployment] through the gateway at the address [gateway]. */
class PreparedCaller(private val gateway: Address) {
    /** Sends a generation request for the engine's model with [adapter]. */
    fun generate(requestId: String, adapter: String): HttpReply = call(
        method = "POST",
        path = "/chat/x",
        requestId = requestId,
        Header("X-Model", "${PreparedDeployment.MODEL}/$adapter"),
        Header("X-Token-Usage", "40,8"),
        Header("X-Prompt-Prefix", "a1:20,b2:20"),
    )

    /** Sends a request that must not be executed more than once. */
    fun callNonIdempotent(requestId: String, apiKey: String = PreparedDeployment.API_KEY): HttpReply =
        call("POST", "/book/x", requestId, apiKey = apiKey)

    /** Sends a request that may be retried. */
    fun callIdempotent(requestId: String): HttpReply = call("GET", "/look/x", requestId)

    private fun call(
        method: String,
        path: String,
        requestId: String,
        vararg extraHeaders: Header,
        apiKey: String = PreparedDeployment.API_KEY,
    ): HttpReply {
        val headers = persistentListOf(
            Header("Host", PreparedDeployment.HOST),
            Header("X-Request-Id", requestId),
            Header("X-Deadline-Ms", "4000"),
            Header("Authorization", "Bearer $apiKey"),
        ).addAll(extraHeaders.toList())
        val body = if (method == "POST") "{}".encodeToByteArray() else ByteArray(0)
        return BlockingHttp.send(gateway, HttpCall(method, path, headers, body))
    }
}

/** Whether a response with a success status arrived. */
fun HttpReply.hasSucceeded(): Boolean = this is HttpReply.Answered && isSuccess
