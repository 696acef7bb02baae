package org.ragwortbank.node.http

import kotlinx.io.bytestring.ByteString
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.longOrNull
import org.ragwortbank.core.model.GenerationApi
import org.ragwortbank.core.model.Work

/** Result of parsing the body of a generation call. */
internal sealed interface ParsedGeneration {
    /** An acceptable body; [model] names the route. */
    data class Valid(val model: String, val work: Work.Generation) : ParsedGeneration

    /** An unacceptable body; [detail] names field, found and expected value; [model] is null if unreadable. */
    data class Invalid(val detail: String, val model: String? = null) : ParsedGeneration
}

private const val BYTES_PER_TOKEN = 4
private const val MAX_OUTPUT_TOKENS = 1_000_000L

/** Parses the body of a generation call; [defaultMaxTokens] applies if it has no output limit. */
internal fun parseGeneration(body: ByteArray, api: GenerationApi, defaultMaxTokens: Long): ParsedGeneration =
    try {
        when (val json = Json.parseToJsonElement(body.decodeToString(throwOnInvalidSequence = true))) {
            is JsonObject -> GenerationParser(json, body, api, defaultMaxTokens).parse()
            else -> ParsedGeneration.Invalid("body: found JSON other than an object, expected an object")
        }
    } catch (e: SerializationException) {
        val problem = e.message?.lineSequence()?.first()
        ParsedGeneration.Invalid("body: found malformed JSON, expected an object: $problem")
    } catch (_: CharacterCodingException) {
        ParsedGeneration.Invalid("body: found invalid UTF-8, expected JSON")
    }

private class GenerationParser(
    private val json: JsonObject,
    private val body: ByteArray,
    private val api: GenerationApi,
    private val defaultMaxTokens: Long,
) {
    private val promptField = PromptField.of(api)

    fun parse(): ParsedGeneration {
        val model = (json["model"] as? JsonPrimitive)?.takeIf { it.isString }?.content
        val outputLimit = outputLimit()
        val prompt = promptField.promptIn(json)
        return when {
            model == null -> invalid("model", "the name of a route")
            prompt == null -> invalid(promptField.name, promptField.expectedValue)
            outputLimit == null -> invalid("max_tokens", "an integer from 1 to $MAX_OUTPUT_TOKENS")
            !isAbsentOrOne("n") -> invalid("n", "1")
            !isAbsentOrOne("best_of") -> invalid("best_of", "1")
            !isAbsentOrBoolean("stream") -> invalid("stream", "true or false")
            else -> ParsedGeneration.Valid(model, generation(prompt, outputLimit))
        }
    }

    private fun generation(prompt: String, outputLimit: Long): Work.Generation {
        val options = json["stream_options"] as? JsonObject
        return Work.Generation(
            api = api,
            isStreamed = json.boolean("stream") ?: false,
            promptTokens = prompt.encodeToByteArray().size / BYTES_PER_TOKEN + 1L,
            maxTokens = outputLimit,
            includeUsage = options?.boolean("include_usage") ?: false,
            body = ByteString(body),
        )
    }

    private fun outputLimit(): Long? {
        val value = json["max_completion_tokens"] ?: json["max_tokens"] ?: return defaultMaxTokens
        return (value as? JsonPrimitive)?.longOrNull?.takeIf { it in 1..MAX_OUTPUT_TOKENS }
    }

    private fun isAbsentOrOne(field: String): Boolean {
        val value = json[field] ?: return true
        return (value as? JsonPrimitive)?.longOrNull == 1L
    }

    private fun isAbsentOrBoolean(field: String): Boolean = json[field] == null || json.boolean(field) != null

    private fun JsonObject.boolean(field: String): Boolean? = (get(field) as? JsonPrimitive)?.booleanOrNull

    private fun invalid(field: String, expected: String): ParsedGeneration {
        val found = json[field]?.toString()?.take(MAX_QUOTED_CHARS) ?: "nothing"
        val model = (json["model"] as? JsonPrimitive)?.takeIf { it.isString }?.content
        return ParsedGeneration.Invalid("$field: found $found, expected $expected", model)
    }

    private companion object {
        const val MAX_QUOTED_CHARS = 60
    }
}
