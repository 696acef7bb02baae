package org.ragwortbank.standins.engine

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.clients.http.fetch
import org.ragwortbank.clients.upstream.EngineClient
import org.ragwortbank.clients.upstream.LoadAdapterRequest
import org.ragwortbank.clients.upstream.UnloadAdapterRequest
import org.ragwortbank.standins.http.Responder
import org.ragwortbank.standins.http.StandInRequest
import java.net.URI
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.seconds

/** The orders that an engine takes. */
internal class EngineOrders(
    private val state: AtomicReference<EngineState>,
    private val scope: CoroutineScope,
    private val client: HttpClient,
    private val options: EngineOptions,
) {
    /** Loads an adapter from the weight store, if a slot is free. */
    fun load(request: StandInRequest, responder: Responder) =
        ordered(request, responder) {
            val order = Json.decodeFromString(LoadAdapterRequest.serializer(), request.body)
            scope.launch { fetchAndLoad(order, responder) }
        }

    /** Drops an adapter, also while it is running. */
    fun unload(request: StandInRequest, responder: Responder) =
        ordered(request, responder) {
            val order = Json.decodeFromString(UnloadAdapterRequest.serializer(), request.body)
            state.updateAndGet { it.drop(order.name) }
            responder.send(OK, "{}")
        }

    private fun ordered(request: StandInRequest, responder: Responder, perform: () -> Unit) {
        val number = request.header(EngineClient.FENCING_HEADER)?.toLongOrNull() ?: 0
        val before = state.getAndUpdate { it.copy(highestFencing = maxOf(it.highestFencing, number)) }
        val old = options.checksFencing && number < before.highestFencing
        if (old) responder.send(CONFLICT, engineError("fencing number $number is old")) else perform()
    }

    private suspend fun fetchAndLoad(order: LoadAdapterRequest, responder: Responder) {
        val uri = URI(order.path)
        val reply = client.fetch(Address(uri.host, uri.port), HttpCall.get(uri.path), FETCH_TIMEOUT)
        val fetched = reply is HttpReply.Answered && reply.isSuccess
        if (fetched) hold(order.name, responder) else responder.send(SERVER_ERROR, engineError("no weights"))
    }

    private fun hold(name: String, responder: Responder) {
        val after = state.updateAndGet { it.hold(name, options.slots) }
        if (name in after.loaded) responder.send(OK, "{}") else responder.send(BAD_REQUEST, engineError("no free slot"))
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
        const val SERVER_ERROR = 500
        val FETCH_TIMEOUT = 20.seconds
    }
}
