package org.ragwortbank.standins.engine

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.ragwortbank.standins.http.Responder
import org.ragwortbank.standins.http.StandInRequest
import java.util.concurrent.atomic.AtomicReference

/** Handles the completion and chat completion requests. */
internal class GenerationHandler(
    private val state: AtomicReference<EngineState>,
    private val options: EngineOptions,
) {
    /** Generates a response one token at a time; the model must be a resident adapter. */
    fun generate(request: StandInRequest, responder: Responder, isChat: Boolean) {
        val generation = Generation.parse(Json.parseToJsonElement(request.body).jsonObject, isChat, options)
        when (generation.model) {
            in state.get().residentAdapters -> start(generation, request, responder)
            else -> responder.send(NOT_FOUND, engineErrorJson("The model `${generation.model}` does not exist."))
        }
    }

    private fun start(generation: Generation, request: StandInRequest, responder: Responder) {
        val headers = request.headers.joinToString("\n") { "${it.name}: ${it.value}" }
        val requestId = request.header("X-Request-Id").orEmpty()
        val received = ReceivedGeneration(requestId, generation.model, generation.prompt, headers)
        state.updateAndGet { it.copy(received = it.received.add(received)).adjustActive(generation.model, 1) }
        if (generation.isStreamed) responder.beginChunked("text/event-stream")
        generateFrom(generation, responder, 0)
    }

    private fun generateFrom(generation: Generation, responder: Responder, tokenIndex: Int) {
        responder.schedule(options.timePerToken) {
            when {
                !responder.isConnected -> markInactive(generation)
                tokenIndex < generation.outputTokens -> {
                    if (generation.isStreamed) responder.sendChunk(generation.tokenEvent(tokenIndex))
                    generateFrom(generation, responder, tokenIndex + 1)
                }
                else -> {
                    markInactive(generation)
                    completeResponse(generation, responder)
                }
            }
        }
    }

    private fun markInactive(generation: Generation) {
        state.updateAndGet { it.adjustActive(generation.model, -1) }
    }

    private fun completeResponse(generation: Generation, responder: Responder) {
        if (!generation.isStreamed) return responder.send(OK, generation.responseBody())
        if (generation.includesUsage) responder.sendChunk(generation.usageEvent())
        responder.sendChunk("data: [DONE]\n\n")
        responder.endChunked()
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
    }
}

/** Body of an error response in the format of OpenAI-compatible engines. */
internal fun engineErrorJson(message: String): String =
    JsonObject(mapOf("error" to JsonObject(mapOf("message" to JsonPrimitive(message))))).toString()
