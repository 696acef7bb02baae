package org.ragwortbank.standins.engine

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.intOrNull

/**
 * One generation; its text is a function of the model and the token number only.
 *
 * @property prompt JSON text of the prompt or of the chat messages
 * @property includesUsage whether a stream ends with a usage report
 */
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

    /** Event of a stream with the token number [index]. */
    fun tokenEvent(index: Int): String =
        "data: {\"model\":\"$model\",\"choices\":[${choiceJson(tokenText(index))}]}\n\n"

    /** Event of a stream with the usage report. */
    fun usageEvent(): String = "data: {\"model\":\"$model\",\"choices\":[],\"usage\":$usageJson}\n\n"

    /** Body of a response that is not streamed. */
    fun responseBody(): String {
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

        /** Parses the request body of a completion or, if [isChat], of a chat completion. */
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
