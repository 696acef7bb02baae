package org.ragwortbank.standins.engine

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull

/** One generation. */
internal data class Generation(
    val model: String,
    val prompt: String,
    val isChat: Boolean,
    val isStreamed: Boolean,
    val includesUsage: Boolean,
    val outputTokens: Int,
) {
    private val usageJson: String get() =
        """{"prompt_tokens":${prompt.length / CHARACTERS_PER_TOKEN + 1},"completion_tokens":$outputTokens}"""

    /** The event with token number [index]. */
    fun tokenEvent(index: Int): String =
        "data: {\"model\":\"$model\",\"choices\":[${choiceJson(tokenText(index))}]}\n\n"

    /** The event with the usage report. */
    fun usageEvent(): String = "data: {\"model\":\"$model\",\"choices\":[],\"usage\":$usageJson}\n\n"

    /** The whole answer. */
    fun completeResponse(): String {
        val text = (0 until outputTokens).joinToString("") { tokenText(it) }
        return "{\"model\":\"$model\",\"choices\":[${choiceJson(text)}],\"usage\":$usageJson}"
    }

    private fun tokenText(index: Int): String = "$model:$index "

    private fun choiceJson(text: String): String =
        when {
            !isChat -> "{\"index\":0,\"text\":\"$text\"}"
            isStreamed -> "{\"index\":0,\"delta\":{\"content\":\"$text\"}}"
            else -> "{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"$text\"}}"
        }

    companion object {
        private const val CHARACTERS_PER_TOKEN = 4

        /** Reads the body of a generation call. */
        fun parse(body: JsonObject, isChat: Boolean, options: EngineOptions): Generation =
            Generation(
                model = (body["model"] as? JsonPrimitive)?.content.orEmpty(),
                prompt = (body["prompt"] ?: body["messages"]).toString(),
                isChat = isChat,
                isStreamed = (body["stream"] as? JsonPrimitive)?.booleanOrNull ?: false,
                includesUsage = "stream_options" in body,
                outputTokens = minOf((body["max_tokens"] as? JsonPrimitive)?.intOrNull ?: 1, options.maxOutputTokens),
            )
    }
}
