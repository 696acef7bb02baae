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

/** A generation request as read from its body. */
internal sealed interface GenerateBody {
    /** Acceptable; [model] names the route. */
    data class Good(val model: String, val work: Work.Generation) : GenerateBody

    /** Not acceptable; [detail] tells path, what was found and expected, [model] the route if it can be read. */
    data class Bad(val detail: String, val model: String? = null) : GenerateBody
}

private const val BYTES_PER_TOKEN = 4
private const val MAX_OUTPUT_TOKENS = 1_000_000L

/** Reads the body of a generation call. */
internal fun parseGenerate(body: ByteArray, api: GenerationApi, defaultMaxTokens: Long): GenerateBody =
    try {
        when (val json = Json.parseToJsonElement(body.decodeToString(throwOnInvalidSequence = true))) {
            is JsonObject -> GenerateParser(json, body, api, defaultMaxTokens).parse()
            else -> GenerateBody.Bad("body: found JSON that is no object, expected an object")
        }
    } catch (e: SerializationException) {
        GenerateBody.Bad("body: found malformed JSON, expected an object: ${e.message?.lineSequence()?.first()}")
    } catch (_: CharacterCodingException) {
        GenerateBody.Bad("body: found bytes that are no UTF-8, expected JSON")
    }

private class GenerateParser(
    private val json: JsonObject,
    private val body: ByteArray,
    private val api: GenerationApi,
    private val defaultMaxTokens: Long,
) {
    private val prompt = PromptText.of(api)

    fun parse(): GenerateBody {
        val model = (json["model"] as? JsonPrimitive)?.takeIf { it.isString }?.content
        val output = outputBound()
        val text = prompt.text(json)
        return when {
            model == null -> bad("model", "the name of a route")
            text == null -> bad(prompt.field, prompt.expected)
            output == null -> bad("max_tokens", "a whole number from 1 to $MAX_OUTPUT_TOKENS")
            !isOne("n") -> bad("n", "1")
            !isOne("best_of") -> bad("best_of", "1")
            !isBoolean("stream") -> bad("stream", "true or false")
            else -> GenerateBody.Good(model, work(text, output))
        }
    }

    private fun work(text: String, output: Long): Work.Generation {
        val options = json["stream_options"] as? JsonObject
        return Work.Generation(
            api = api,
            isStreamed = json.boolean("stream") ?: false,
            promptTokens = text.encodeToByteArray().size / BYTES_PER_TOKEN + 1L,
            maxTokens = output,
            includeUsage = options?.boolean("include_usage") ?: false,
            body = ByteString(body),
        )
    }

    private fun outputBound(): Long? {
        val given = json["max_completion_tokens"] ?: json["max_tokens"] ?: return defaultMaxTokens
        return (given as? JsonPrimitive)?.longOrNull?.takeIf { it in 1..MAX_OUTPUT_TOKENS }
    }

    private fun isOne(field: String): Boolean {
        val given = json[field] ?: return true
        return (given as? JsonPrimitive)?.longOrNull == 1L
    }

    private fun isBoolean(field: String): Boolean = json[field] == null || json.boolean(field) != null

    private fun JsonObject.boolean(field: String): Boolean? = (get(field) as? JsonPrimitive)?.booleanOrNull

    private fun bad(field: String, expected: String): GenerateBody {
        val found = json[field]?.toString()?.take(MAX_QUOTE) ?: "nothing"
        val model = (json["model"] as? JsonPrimitive)?.takeIf { it.isString }?.content
        return GenerateBody.Bad("$field: found $found, expected $expected", model)
    }

    private companion object {
        const val MAX_QUOTE = 60
    }
}
