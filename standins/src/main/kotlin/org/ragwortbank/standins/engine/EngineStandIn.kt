package org.ragwortbank.standins.engine

import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.clients.upstream.ModelEntry
import org.ragwortbank.clients.upstream.ModelList
import org.ragwortbank.standins.http.Responder
import org.ragwortbank.standins.http.StandInRequest
import org.ragwortbank.standins.http.StandInServer
import java.util.concurrent.atomic.AtomicReference

/**
 * Stands in for a model engine: the OpenAI-compatible calls and the calls that load and unload LoRA adapters.
 *
 * Tests read the generations it received from `/control/seen` and the number of adapters unloaded while in use from
 * `/control/evicted`. `/control/forget` makes it lose its adapters, as a restart would.
 */
class EngineStandIn(
    group: EventLoopGroup,
    scope: CoroutineScope,
    httpClient: HttpClient,
    options: EngineOptions,
) {
    private val server = StandInServer(group, ::handle)
    private val state = AtomicReference(EngineState())
    private val commands = AdapterCommandHandler(state, scope, httpClient, options)
    private val generations = GenerationHandler(state, options)

    /** Listens on [port], or on a free port if [port] is 0, and returns the address. */
    fun start(port: Int): Address = server.start(port)

    private fun handle(request: StandInRequest, responder: Responder) {
        when (request.path) {
            "/v1/models" -> responder.send(OK, Json.encodeToString(ModelList.serializer(), modelList()))
            "/v1/load_lora_adapter" -> commands.load(request, responder)
            "/v1/unload_lora_adapter" -> commands.unload(request, responder)
            "/v1/completions" -> generations.generate(request, responder, isChat = false)
            "/v1/chat/completions" -> generations.generate(request, responder, isChat = true)
            "/control/seen" -> responder.send(OK, receivedJson())
            "/control/evicted" -> responder.send(OK, state.get().evictionsWhileInUse.toString())
            "/control/forget" -> forgetAdapters(responder)
            else -> responder.send(NOT_FOUND, "{}")
        }
    }

    private fun receivedJson(): String =
        Json.encodeToString(ListSerializer(ReceivedGeneration.serializer()), state.get().received)

    private fun forgetAdapters(responder: Responder) {
        state.updateAndGet { EngineState(received = it.received) }
        responder.send(OK, "{}")
    }

    private fun modelList(): ModelList {
        val adapters = state.get().residentAdapters.map { ModelEntry(it, parent = BASE_MODEL) }
        return ModelList(listOf(ModelEntry(BASE_MODEL)) + adapters)
    }

    private companion object {
        const val BASE_MODEL = "base"
        const val OK = 200
        const val NOT_FOUND = 404
    }
}
