package org.ragwortbank.standins.engine

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull

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
