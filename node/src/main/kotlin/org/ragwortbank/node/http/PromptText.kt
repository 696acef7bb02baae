package org.ragwortbank.node.http

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.ragwortbank.core.model.GenerationApi

/** Where the prompt of a generation call stands, by which its length is estimated. */
internal sealed interface PromptText {
    /** The field that holds it. */
    val field: String

    /** What the field must be. */
    val expected: String

    /** The prompt in [json]; null when it is not acceptable. */
    fun text(json: JsonObject): String?

    private data object Completion : PromptText {
        override val field: String get() = "prompt"
        override val expected: String get() = "one string"

        override fun text(json: JsonObject): String? = (json[field] as? JsonPrimitive)?.takeIf { it.isString }?.content
    }

    private data object Chat : PromptText {
        override val field: String get() = "messages"
        override val expected: String get() = "a list of messages with content"

        override fun text(json: JsonObject): String? =
            (json[field] as? JsonArray)?.takeIf { it.isNotEmpty() }?.let(::contents)

        private fun contents(messages: JsonArray): String? {
            val contents = messages.map { (it as? JsonObject)?.get("content") }
            return if (contents.any { it == null }) null else contents.joinToString("\n", transform = ::content)
        }

        private fun content(element: JsonElement?): String =
            if (element is JsonPrimitive) element.contentOrNull.orEmpty() else element.toString()
    }

    companion object {
        /** The place for calls of [api]. */
        fun of(api: GenerationApi): PromptText =
            when (api) {
                GenerationApi.COMPLETIONS -> Completion
                GenerationApi.CHAT -> Chat
            }
    }
}
