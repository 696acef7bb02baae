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

internal fun StoreItem.json(): JsonObject = buildJsonObject {
    put("key", key)
    put("revision", revision)
    if (value == null) put("deleted", true) else put("value", value)
    put("lease", lease)
}

internal fun List<StoreItem>.json(): JsonArray = JsonArray(map { it.json() })

internal fun StandInRequest.json(): JsonObject =
    if (body.isEmpty()) JsonObject(emptyMap()) else Json.parseToJsonElement(body).jsonObject

internal fun JsonObject.rows(name: String): List<JsonObject> = this[name]?.jsonArray.orEmpty().map { it.jsonObject }

internal fun JsonObject.text(name: String): String = getValue(name).jsonPrimitive.content

internal fun JsonObject.number(name: String): Long? = this[name]?.jsonPrimitive?.long

internal fun QueryStringDecoder.value(name: String): String = parameters()[name]?.firstOrNull().orEmpty()
