package org.ragwortbank.standins.engine

import io.netty.channel.EventLoopGroup
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonObject
import org.ragwortbank.platform.http.Address
import org.ragwortbank.platform.http.HttpCall
import org.ragwortbank.platform.http.HttpClient
import org.ragwortbank.platform.http.HttpReply
import org.ragwortbank.platform.http.fetch
import org.ragwortbank.platform.upstream.EngineClient
import org.ragwortbank.platform.upstream.LoadOrder
import org.ragwortbank.platform.upstream.ModelEntry
import org.ragwortbank.platform.upstream.ModelList
import org.ragwortbank.platform.upstream.UnloadOrder
import org.ragwortbank.standins.http.Responder
import org.ragwortbank.standins.http.StandInRequest
import org.ragwortbank.standins.http.StandInServer
import java.net.URI
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.seconds

/** Stands in for a model engine: the OpenAI-compatible calls and the load and unload calls for LoRA adapters. */
class EngineStandIn(
    group: EventLoopGroup,
    private val scope: CoroutineScope,
    private val client: HttpClient,
    private val options: EngineOptions,
) {
    private val server = StandInServer(group, ::handle)
    private val state = AtomicReference(EngineState())

    /** Listens on [port]. */
    fun start(port: Int): Address = server.start(port)

    private fun handle(request: StandInRequest, responder: Responder) {
        when (request.path) {
            "/v1/models" -> responder.send(OK, Json.encodeToString(ModelList.serializer(), models()))
            "/v1/load_lora_adapter" -> ordered(request, responder) { load(request, responder) }
            "/v1/unload_lora_adapter" -> ordered(request, responder) { unload(request, responder) }
            "/v1/completions" -> generate(request, responder, chat = false)
            "/v1/chat/completions" -> generate(request, responder, chat = true)
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

    private fun ordered(request: StandInRequest, responder: Responder, perform: () -> Unit) {
        val number = request.header(EngineClient.FENCING_HEADER)?.toLongOrNull() ?: 0
        val before = state.getAndUpdate { it.copy(highestFencing = maxOf(it.highestFencing, number)) }
        val old = options.checksFencing && number < before.highestFencing
        if (old) responder.send(CONFLICT, error("fencing number $number is old")) else perform()
    }

    private fun load(request: StandInRequest, responder: Responder) {
        val order = Json.decodeFromString(LoadOrder.serializer(), request.body)
        scope.launch {
            val uri = URI(order.path)
            val reply = client.fetch(Address(uri.host, uri.port), HttpCall.get(uri.path), FETCH_TIMEOUT)
            val fetched = reply is HttpReply.Answered && reply.succeeded
            if (fetched) loaded(order.name, responder) else responder.send(SERVER_ERROR, error("no weights"))
        }
    }

    private fun loaded(name: String, responder: Responder) {
        val after = state.updateAndGet { if (it.loaded.size < options.slots) it.copy(loaded = it.loaded.add(name)) else it }
        if (name in after.loaded) responder.send(OK, "{}") else responder.send(BAD_REQUEST, error("no free slot"))
    }

    private fun unload(request: StandInRequest, responder: Responder) {
        val order = Json.decodeFromString(UnloadOrder.serializer(), request.body)
        state.updateAndGet { known ->
            val busy = if ((known.running[order.name] ?: 0) > 0) 1 else 0
            known.copy(loaded = known.loaded.remove(order.name), evictedWhileRunning = known.evictedWhileRunning + busy)
        }
        responder.send(OK, "{}")
    }

    private fun generate(request: StandInRequest, responder: Responder, chat: Boolean) {
        val body = Json.parseToJsonElement(request.body).jsonObject
        val run = EngineRun.of(body, chat, options)
        if (run.model !in state.get().loaded) {
            return responder.send(NOT_FOUND, error("The model `${run.model}` does not exist."))
        }
        val seen = SeenRun(request.header("X-Request-Id").orEmpty(), run.model, run.prompt, headers(request))
        state.updateAndGet { it.copy(seen = it.seen.add(seen)).count(run.model, 1) }
        if (run.stream) responder.begin("text/event-stream")
        produce(run, responder, 0)
    }

    private fun headers(request: StandInRequest): String = request.headers.joinToString("\n") { "${it.name}: ${it.value}" }

    private fun produce(run: EngineRun, responder: Responder, index: Int) {
        responder.later(options.tokenTime) {
            when {
                !responder.open -> ended(run)
                index < run.tokens -> {
                    if (run.stream) responder.piece(run.event(index))
                    produce(run, responder, index + 1)
                }
                else -> {
                    ended(run)
                    finish(run, responder)
                }
            }
        }
    }

    private fun ended(run: EngineRun) {
        state.updateAndGet { it.count(run.model, -1) }
    }

    private fun finish(run: EngineRun, responder: Responder) {
        if (!run.stream) return responder.send(OK, run.whole())
        if (run.usageWanted) responder.piece(run.usageEvent())
        responder.piece("data: [DONE]\n\n")
        responder.end()
    }

    private fun error(message: String): String =
        JsonObject(mapOf("error" to JsonObject(mapOf("message" to JsonPrimitive(message))))).toString()

    private companion object {
        const val BASE_MODEL = "base"
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val SERVER_ERROR = 500
        val FETCH_TIMEOUT = 20.seconds
    }
}

/** One generation. */
internal data class EngineRun(
    val model: String,
    val prompt: String,
    val chat: Boolean,
    val stream: Boolean,
    val usageWanted: Boolean,
    val tokens: Int,
) {
    private val usage: String get() =
        """{"prompt_tokens":${prompt.length / BYTES_PER_TOKEN + 1},"completion_tokens":$tokens}"""

    /** The event with token number [index]. */
    fun event(index: Int): String = "data: {\"model\":\"$model\",\"choices\":[${choice(token(index))}]}\n\n"

    /** The event with the usage report. */
    fun usageEvent(): String = "data: {\"model\":\"$model\",\"choices\":[],\"usage\":$usage}\n\n"

    /** The whole answer. */
    fun whole(): String {
        val text = (0 until tokens).joinToString("") { token(it) }
        return "{\"model\":\"$model\",\"choices\":[${choice(text)}],\"usage\":$usage}"
    }

    private fun token(index: Int): String = "$model:$index "

    private fun choice(text: String): String =
        when {
            !chat -> "{\"index\":0,\"text\":\"$text\"}"
            stream -> "{\"index\":0,\"delta\":{\"content\":\"$text\"}}"
            else -> "{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"$text\"}}"
        }

    companion object {
        private const val BYTES_PER_TOKEN = 4

        /** Reads the body of a generation call. */
        fun of(body: JsonObject, chat: Boolean, options: EngineOptions): EngineRun =
            EngineRun(
                model = (body["model"] as? JsonPrimitive)?.content.orEmpty(),
                prompt = (body["prompt"] ?: body["messages"]).toString(),
                chat = chat,
                stream = (body["stream"] as? JsonPrimitive)?.booleanOrNull ?: false,
                usageWanted = "stream_options" in body,
                tokens = minOf((body["max_tokens"] as? JsonPrimitive)?.intOrNull ?: 1, options.answerTokens),
            )
    }
}
