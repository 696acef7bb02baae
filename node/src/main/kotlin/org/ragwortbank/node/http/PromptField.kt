package org.ragwortbank.node.http

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.ragwortbank.core.model.GenerationApi

/** The JSON field that holds the prompt of a generation call; the prompt serves to estimate its number of tokens. */
internal sealed interface PromptField {
    /** Name of the field. */
    val name: String

    /** Description of the accepted values, for error messages. */
    val expectedValue: String

    /** Returns the prompt in [json]; null if the field is missing or has an unacceptable value. */
    fun promptIn(json: JsonObject): String?

    private data object Completion : PromptField {
        override val name: String get() = "prompt"
        override val expectedValue: String get() = "one string"

        override fun promptIn(json: JsonObject): String? =
            (json[name] as? JsonPrimitive)?.takeIf { it.isString }?.content
    }

    private data object Chat : PromptField {
        override val name: String get() = "messages"
        override val expectedValue: String get() = "a list of messages with content"

        override fun promptIn(json: JsonObject): String? =
            (json[name] as? JsonArray)?.takeIf { it.isNotEmpty() }?.let(::joinedContents)

        private fun joinedContents(messages: JsonArray): String? {
            val contents = messages.map { (it as? JsonObject)?.get("content") }
            return if (contents.any { it == null }) null else contents.joinToString("\n", transform = ::contentText)
        }

        private fun contentText(element: JsonElement?): String =
            if (element is JsonPrimitive) element.contentOrNull.orEmpty() else element.toString()
    }

    companion object {
        /** Returns the prompt field of [api]. */
        fun of(api: GenerationApi): PromptField =
            when (api) {
                GenerationApi.COMPLETIONS -> Completion
                GenerationApi.CHAT -> Chat
            }
    }
}
