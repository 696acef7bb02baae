package org.ragwortbank.standins.prepared

import io.netty.channel.EventLoopGroup
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.json.JsonObject
import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.model.Header
import org.ragwortbank.standins.http.Responder
import org.ragwortbank.standins.http.StandInRequest
import org.ragwortbank.standins.http.StandInServer
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Stands in for a worker of the prepared platform: a model engine for requests that name a model, a plain service for
 * others. It remembers the ids of the requests that it ran.
 */
class WorkerStandIn(group: EventLoopGroup, private val id: String, model: String?) {
    private val server = StandInServer(group, ::handle)
    private val state = AtomicReference(WorkerState(model = model))
    private val ran = AtomicReference<PersistentList<String>>(persistentListOf())

    /** Listens on [port]. */
    fun start(port: Int = 0): Address = server.start(port)

    /** Ids of the requests that it ran, in their order. */
    val runs: List<String> get() = ran.get()

    /** What it holds. */
    val holds: WorkerState get() = state.get()

    private fun handle(request: StandInRequest, responder: Responder) {
        val expected = request.header("X-Expect-Instance")
        when {
            request.path == "/-/report" -> responder.send(OK, holds.report())
            expected != null && expected != id -> responder.send(MISDIRECTED, "{}", more = echo(request))
            request.path == "/-/order" -> order(request.parseJsonBody(), responder)
            request.header("X-Model") == null -> plain(request, responder)
            else -> generate(request, responder)
        }
    }

    private fun order(order: JsonObject, responder: Responder) {
        val adapter = order["adapter"]?.let { order.requiredString("adapter") }
        val model = order.requiredString("model")
        val load = order.requiredString("op_type") == "load"
        val before = state.get()
        if (order.optionalLong("expected") != before.sequence) return responder.send(CONFLICT, "{}")
        val counted = before.copy(sequence = before.sequence + 1)
        when {
            adapter == null -> begin(counted.copy(loading = true), responder, MODEL_TIME) {
                it.copy(model = model, loading = false)
            }
            load -> begin(counted.copy(coming = before.coming.add(adapter)), responder, ADAPTER_TIME) {
                val version = order.optionalLong("version") ?: 1
                it.copy(coming = it.coming.remove(adapter), adapters = it.adapters.put(adapter, version))
            }
            else -> begin(counted, responder, Duration.ZERO) { it.copy(adapters = it.adapters.remove(adapter)) }
        }
    }

    private fun begin(now: WorkerState, responder: Responder, time: Duration, done: (WorkerState) -> WorkerState) {
        state.set(now)
        responder.send(ACCEPTED, "{}")
        responder.later(time) { state.updateAndGet(done) }
    }

    private fun plain(request: StandInRequest, responder: Responder) {
        ran.updateAndGet { it.add(request.header(REQUEST_ID).orEmpty()) }
        responder.later(PIECE_TIME) { responder.send(OK, """{"path":"${request.path}"}""", more = echo(request)) }
    }

    private fun generate(request: StandInRequest, responder: Responder) {
        val named = request.header("X-Model").orEmpty()
        val adapter = named.substringAfter('/', "")
        if (!holds.serves(named.substringBefore('/'), adapter)) {
            return responder.send(MISDIRECTED, "{}", more = echo(request))
        }
        ran.updateAndGet { it.add(request.header(REQUEST_ID).orEmpty()) }
        state.updateAndGet { it.copy(running = it.running + 1) }
        responder.begin("text/event-stream", echo(request))
        piece(responder, 1)
    }

    private fun piece(responder: Responder, number: Int) {
        responder.piece("id: $number\ndata: piece $number\n\n")
        responder.later(PIECE_TIME) { if (number < PIECES) piece(responder, number + 1) else end(responder) }
    }

    private fun end(responder: Responder) {
        state.updateAndGet { it.copy(running = it.running - 1) }
        responder.end()
    }

    private fun echo(request: StandInRequest): List<Header> = listOf(
        Header(REQUEST_ID, request.header(REQUEST_ID).orEmpty()),
        Header("X-Server-Signature", "signature-of-$id"),
        Header("X-Server-Load", "${state.get().running},0,${WorkerState.SLOTS}"),
        Header("Keep-Alive", "timeout=5"),
    )

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val PIECES = 6
        const val OK = 200
        const val ACCEPTED = 202
        const val CONFLICT = 409
        const val MISDIRECTED = 421
        val PIECE_TIME = 5.milliseconds
        val ADAPTER_TIME = 30.milliseconds
        val MODEL_TIME = 60.milliseconds
    }
}
