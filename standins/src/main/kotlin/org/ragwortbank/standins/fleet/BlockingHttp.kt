package org.ragwortbank.standins.fleet

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.collections.immutable.persistentListOf
import kotlinx.coroutines.runBlocking
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.clients.http.fetch
import org.ragwortbank.core.model.Header
import kotlin.time.Duration.Companion.seconds

/** Blocking HTTP calls to the processes of a fleet, including the control paths of stand-ins. */
object BlockingHttp {
    private val timeout = 30.seconds
    private val eventLoops = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())

    /** The HTTP client behind all calls of this process. */
    val client: HttpClient = HttpClient(eventLoops, 2.seconds)

    /** Sends [call] and waits for the response. */
    fun send(address: Address, call: HttpCall): HttpReply = runBlocking { client.fetch(address, call, timeout) }

    /** Sends a GET request for [path], with [key] as bearer token unless it is null. */
    fun get(address: Address, path: String, key: String? = null): HttpReply =
        send(address, HttpCall("GET", path, headers(key)))

    /** Posts [body] to [path], with [key] as bearer token unless it is null, and with [more] headers. */
    fun post(address: Address, path: String, key: String?, body: String, vararg more: Header): HttpReply =
        send(address, HttpCall("POST", path, headers(key).addAll(more.toList()), body.encodeToByteArray()))

    private fun headers(key: String?) =
        if (key == null) persistentListOf() else persistentListOf(Header("Authorization", "Bearer $key"))
}
