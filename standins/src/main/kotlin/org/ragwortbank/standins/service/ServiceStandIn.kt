package org.ragwortbank.standins.service

import io.netty.channel.EventLoopGroup
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.http.Address
import org.ragwortbank.standins.http.Responder
import org.ragwortbank.standins.http.StandInRequest
import org.ragwortbank.standins.http.StandInServer
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/**
 * Stands in for a plain service. It responds to each call after [responseTime] and records it for `/control/seen`.
 * A request for `/`, the health probe, gets a response at once and is not recorded.
 */
class ServiceStandIn(group: EventLoopGroup, private val responseTime: Duration) {
    private val server = StandInServer(group, ::handle)
    private val receivedCalls = AtomicReference<PersistentList<ReceivedCall>>(persistentListOf())

    /** Listens on [port], or on a free port if [port] is 0, and returns the address. */
    fun start(port: Int): Address = server.start(port)

    private fun handle(request: StandInRequest, responder: Responder) {
        if (request.path == "/control/seen") return responder.send(OK, receivedCallsJson())
        if (request.path == "/") return responder.send(OK, "{}")
        val headers = request.headers.joinToString("\n") { "${it.name}: ${it.value}" }
        receivedCalls.updateAndGet { it.add(ReceivedCall(request.method, request.path, headers, request.body)) }
        responder.schedule(responseTime) {
            responder.send(OK, "{\"method\":\"${request.method}\",\"path\":\"${request.path}\"}")
        }
    }

    private fun receivedCallsJson(): String =
        Json.encodeToString(ListSerializer(ReceivedCall.serializer()), receivedCalls.get())

    private companion object {
        const val OK = 200
    }
}

/**
 * A call that the service received, as tests read it from `/control/seen`.
 *
 * @property headers one line `name: value` for each header field
 */
@Serializable
data class ReceivedCall(
    val method: String,
    val path: String,
    val headers: String,
    val body: String,
)
