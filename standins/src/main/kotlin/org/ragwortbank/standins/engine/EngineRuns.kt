package org.ragwortbank.standins.engine

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import org.ragwortbank.standins.http.Responder
import org.ragwortbank.standins.http.StandInRequest
import java.util.concurrent.atomic.AtomicReference

/** The generations of an engine. */
internal class EngineRuns(
    private val state: AtomicReference<EngineState>,
    private val options: EngineOptions,
) {
    /** Generates an answer, one token at a time. */
    fun generate(request: StandInRequest, responder: Responder, chat: Boolean) {
        val run = EngineRun.of(Json.parseToJsonElement(request.body).jsonObject, chat, options)
        when (run.model) {
            in state.get().loaded -> begin(run, request, responder)
            else -> responder.send(NOT_FOUND, engineError("The model `${run.model}` does not exist."))
        }
    }

    private fun begin(run: EngineRun, request: StandInRequest, responder: Responder) {
        val headers = request.headers.joinToString("\n") { "${it.name}: ${it.value}" }
        val seen = SeenRun(request.header("X-Request-Id").orEmpty(), run.model, run.prompt, headers)
        state.updateAndGet { it.copy(seen = it.seen.add(seen)).count(run.model, 1) }
        if (run.stream) responder.beginChunked("text/event-stream")
        produce(run, responder, 0)
    }

    private fun produce(run: EngineRun, responder: Responder, index: Int) {
        responder.schedule(options.tokenTime) {
            when {
                !responder.isConnected -> ended(run)
                index < run.tokens -> {
                    if (run.stream) responder.sendChunk(run.event(index))
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
        if (run.usageWanted) responder.sendChunk(run.usageEvent())
        responder.sendChunk("data: [DONE]\n\n")
        responder.endChunked()
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
    }
}

/** An error answer in the engines' form. */
internal fun engineError(message: String): String =
    JsonObject(mapOf("error" to JsonObject(mapOf("message" to JsonPrimitive(message))))).toString()
