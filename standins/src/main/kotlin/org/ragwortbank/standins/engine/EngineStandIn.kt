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

/** Stands in for a model engine: the OpenAI-compatible calls and the load and unload calls for LoRA adapters. */
class EngineStandIn(
    group: EventLoopGroup,
    scope: CoroutineScope,
    client: HttpClient,
    options: EngineOptions,
) {
    private val server = StandInServer(group, ::handle)
    private val state = AtomicReference(EngineState())
    private val orders = EngineOrders(state, scope, client, options)
    private val runs = EngineRuns(state, options)

    /** Listens on [port]. */
    fun start(port: Int): Address = server.start(port)

    private fun handle(request: StandInRequest, responder: Responder) {
        when (request.path) {
            "/v1/models" -> responder.send(OK, Json.encodeToString(ModelList.serializer(), models()))
            "/v1/load_lora_adapter" -> orders.load(request, responder)
            "/v1/unload_lora_adapter" -> orders.unload(request, responder)
            "/v1/completions" -> runs.generate(request, responder, chat = false)
            "/v1/chat/completions" -> runs.generate(request, responder, chat = true)
            "/control/seen" -> responder.send(OK, seen())
            "/control/evicted" -> responder.send(OK, state.get().evictedWhileRunning.toString())
            "/control/forget" -> forget(responder)
            else -> responder.send(NOT_FOUND, "{}")
        }
    }

    private fun seen(): String = Json.encodeToString(ListSerializer(SeenRun.serializer()), state.get().seen)

    private fun forget(responder: Responder) {
        state.updateAndGet { EngineState(seen = it.seen) }
        responder.send(OK, "{}")
    }

    private fun models(): ModelList {
        val adapters = state.get().loaded.map { ModelEntry(it, parent = BASE_MODEL) }
        return ModelList(listOf(ModelEntry(BASE_MODEL)) + adapters)
    }

    private companion object {
        const val BASE_MODEL = "base"
        const val OK = 200
        const val NOT_FOUND = 404
    }
}
