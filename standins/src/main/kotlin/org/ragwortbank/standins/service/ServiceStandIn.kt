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

/** Stands in for a plain service that answers each call after [answerTime] and remembers it. */
class ServiceStandIn(group: EventLoopGroup, private val answerTime: Duration) {
    private val server = StandInServer(group, ::handle)
    private val seen = AtomicReference<PersistentList<SeenCall>>(persistentListOf())

    /** Listens on [port]. */
    fun start(port: Int): Address = server.start(port)

    private fun handle(request: StandInRequest, responder: Responder) {
        if (request.path == "/control/seen") return responder.send(OK, seenText())
        if (request.path == "/") return responder.send(OK, "{}")
        val headers = request.headers.joinToString("\n") { "${it.name}: ${it.value}" }
        seen.updateAndGet { it.add(SeenCall(request.method, request.path, headers, request.body)) }
        responder.schedule(answerTime) {
            responder.send(OK, "{\"method\":\"${request.method}\",\"path\":\"${request.path}\"}")
        }
    }

    private fun seenText(): String = Json.encodeToString(ListSerializer(SeenCall.serializer()), seen.get())

    private companion object {
        const val OK = 200
    }
}

/** A call as the service saw it, for the checks of tests. */
@Serializable
data class SeenCall(
    val method: String,
    val path: String,
    val headers: String,
    val body: String,
)
