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

/**
 * Executes the commands that load and unload adapters. A command whose fencing token is lower than that of an earlier
 * command is stale, and is rejected if the options say so.
 */
internal class AdapterCommandHandler(
    private val state: AtomicReference<EngineState>,
    private val scope: CoroutineScope,
    private val httpClient: HttpClient,
    private val options: EngineOptions,
) {
    /** Loads an adapter from the weight store; responds with an error if no slot is free after the download. */
    fun load(request: StandInRequest, responder: Responder) =
        executeIfTokenIsCurrent(request, responder) {
            val command = Json.decodeFromString(LoadAdapterRequest.serializer(), request.body)
            scope.launch { fetchAndLoad(command, responder) }
        }

    /** Unloads an adapter, even while generations use it. */
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
        if (isStale) {
            val highest = previous.highestFencingToken
            val message = "fencing token $fencingToken is stale; the highest received is $highest"
            responder.send(CONFLICT, engineErrorJson(message))
        } else {
            execute()
        }
    }

    private suspend fun fetchAndLoad(command: LoadAdapterRequest, responder: Responder) {
        val uri = URI(command.path)
        val reply = httpClient.fetch(Address(uri.host, uri.port), HttpCall.get(uri.path), FETCH_TIMEOUT)
        val isFetched = reply is HttpReply.Answered && reply.isSuccess
        if (isFetched) {
            loadIntoSlot(command.name, responder)
        } else {
            responder.send(SERVER_ERROR, engineErrorJson("could not download the weights from $uri"))
        }
    }

    private fun loadIntoSlot(adapterName: String, responder: Responder) {
        val updated = state.updateAndGet { it.load(adapterName, options.adapterSlots) }
        if (adapterName in updated.residentAdapters) {
            responder.send(OK, "{}")
        } else {
            responder.send(BAD_REQUEST, engineErrorJson("all ${options.adapterSlots} adapter slots are in use"))
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
