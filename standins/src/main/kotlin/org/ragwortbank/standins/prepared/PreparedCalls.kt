package org.ragwortbank.standins.prepared

import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.core.model.Header
import org.ragwortbank.standins.fleet.BlockingHttp

/** Calls of a [PreparedSite] through the gateway at [gateway], as the platform's callers make them. */
class PreparedCalls(private val gateway: Address) {
    /** A generation by [adapter]. */
    fun chat(id: String, adapter: String): HttpReply = call(
        method = "POST",
        path = "/chat/x",
        id = id,
        Header("X-Model", "${PreparedSite.MODEL}/$adapter"),
        Header("X-Token-Usage", "40,8"),
        Header("X-Prompt-Prefix", "a1:20,b2:20"),
    )

    /** A call that may run once only. */
    fun book(id: String, key: String = PreparedSite.KEY): HttpReply = call("POST", "/book/x", id, key = key)

    /** A call that may be repeated. */
    fun look(id: String): HttpReply = call("GET", "/look/x", id)

    private fun call(
        method: String,
        path: String,
        id: String,
        vararg more: Header,
        key: String = PreparedSite.KEY,
    ): HttpReply {
        val headers = persistentListOf(
            Header("Host", PreparedSite.HOST),
            Header("X-Request-Id", id),
            Header("X-Deadline-Ms", "4000"),
            Header("Authorization", "Bearer $key"),
        ).addAll(more.toList())
        val body = if (method == "POST") "{}".encodeToByteArray() else ByteArray(0)
        return BlockingHttp.send(gateway, HttpCall(method, path, headers, body))
    }
}

/** Whether the call was answered with success. */
fun HttpReply.succeeded(): Boolean = this is HttpReply.Answered && isSuccess
