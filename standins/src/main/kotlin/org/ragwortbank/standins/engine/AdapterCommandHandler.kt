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
internal class AdapterCommandHandler(
    private val state: AtomicReference<EngineState>,
    private val scope: CoroutineScope,
    private val httpClient: HttpClient,
    private val options: EngineOptions,
) {
    /** Loads an adapter from the weight store, if a slot is free. */
    fun load(request: StandInRequest, responder: Responder) =
        executeIfTokenIsCurrent(request, responder) {
            val command = Json.decodeFromString(LoadAdapterRequest.serializer(), request.body)
            scope.launch { fetchAndLoad(command, responder) }
        }

    /** Drops an adapter, also while it is running. */
    fun unload(request: StandInRequest, responder: Responder) =
        executeIfTokenIsCurrent(request, responder) {
            val command = Json.decodeFromString(UnloadAdapterRequest.serializer(), request.body)
            state.updateAndGet { it.unload(command.name) }
            responder.send(OK, "{}")
        }

    private fun executeIfTokenIsCurrent(request: StandInRequest, responder: Responder, execute: () -> Unit) {
        val fencingToken = request.header(EngineClient.FENCING_HEADER)?.toLongOrNull() ?: 0
        val previous = state.getAndUpdate { it.copy(highestFencingToken = maxOf(it.highestFencingToken, fencingToken)) }
        val isStale = options.checksFencingToken && fencingToken < previous.highestFencingToken
        if (isStale) responder.send(CONFLICT, engineErrorJson("fencing number $fencingToken is old")) else execute()
    }

    private suspend fun fetchAndLoad(command: LoadAdapterRequest, responder: Responder) {
        val uri = URI(command.path)
        val reply = httpClient.fetch(Address(uri.host, uri.port), HttpCall.get(uri.path), FETCH_TIMEOUT)
        val isFetched = reply is HttpReply.Answered && reply.isSuccess
        if (isFetched) {
            completeLoad(command.name, responder)
        } else {
            responder.send(SERVER_ERROR, engineErrorJson("no weights"))
        }
    }

    private fun completeLoad(name: String, responder: Responder) {
        val updated = state.updateAndGet { it.load(name, options.adapterSlots) }
        if (name in updated.residentAdapters) {
            responder.send(OK, "{}")
        } else {
            responder.send(BAD_REQUEST, engineErrorJson("no free slot"))
        }
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
        const val SERVER_ERROR = 500
        val FETCH_TIMEOUT = 20.seconds
    }
}
