package org.ragwortbank.standins.prepared

import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import org.ragwortbank.standins.http.StandInRequest

internal fun StoreItem.toJson(): JsonObject = buildJsonObject {
    put("key", key)
    put("revision", revision)
    if (value == null) put("deleted", true) else put("value", value)
    put("lease", leaseId)
}

internal fun List<StoreItem>.toJson(): JsonArray = JsonArray(map { it.toJson() })

internal fun StandInRequest.parseJsonBody(): JsonObject =
    if (body.isEmpty()) JsonObject(emptyMap()) else Json.parseToJsonElement(body).jsonObject

internal fun JsonObject.objectList(name: String): List<JsonObject> =
    this[name]?.jsonArray.orEmpty().map { it.jsonObject }

internal fun JsonObject.requiredString(name: String): String = getValue(name).jsonPrimitive.content

internal fun JsonObject.optionalLong(name: String): Long? = this[name]?.jsonPrimitive?.long

internal fun QueryStringDecoder.parameterOrEmpty(name: String): String = parameters()[name]?.firstOrNull().orEmpty()
