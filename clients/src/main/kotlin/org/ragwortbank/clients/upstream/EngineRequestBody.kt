package org.ragwortbank.clients.upstream

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.Work

/**
 * The caller's body with the fields replaced that the system sets: the adapter, the limit on output tokens and the
 * usage report; null when the body is not a JSON object.
 */
internal fun engineRequestBody(work: Work.Generation, adapter: AdapterRef): String? =
    try {
        val caller = Json.parseToJsonElement(work.body.toByteArray().decodeToString()).jsonObject
        Json.encodeToString(JsonObject.serializer(), JsonObject(caller + fixedFields(work, adapter)))
    } catch (_: SerializationException) {
        null
    } catch (_: IllegalArgumentException) {
        null
    }

private fun fixedFields(work: Work.Generation, adapter: AdapterRef): Map<String, JsonElement> {
    val common = mapOf(
        "model" to JsonPrimitive(adapter.engineName),
        "max_tokens" to JsonPrimitive(work.maxTokens),
        "stream" to JsonPrimitive(work.isStreamed),
    )
    val options = buildJsonObject { put("include_usage", JsonPrimitive(true)) }
    return if (work.isStreamed) common + ("stream_options" to options) else common
}
