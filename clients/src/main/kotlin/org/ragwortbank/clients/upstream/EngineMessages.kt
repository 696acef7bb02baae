package org.ragwortbank.clients.upstream

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Asks an engine to load an adapter from [path]. */
@Serializable
data class LoadAdapterRequest(
    @SerialName("lora_name") val name: String,
    @SerialName("lora_path") val path: String,
)

/** Asks an engine to unload an adapter. */
@Serializable
data class UnloadAdapterRequest(
    @SerialName("lora_name") val name: String,
)

/** The models and adapters that an engine serves. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class ModelList(
    val data: List<ModelEntry>,
    @EncodeDefault
    @SerialName("object")
    val kind: String = "list",
)

/** One model, or an adapter of the model [parent]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class ModelEntry(
    val id: String,
    val parent: String? = null,
    @EncodeDefault
    @SerialName("object")
    val kind: String = "model",
)

/** The fields of a response, or of one event of a stream, that the system reads. */
@Serializable
internal data class EngineResponse(
    val model: String? = null,
    val choices: List<JsonElement> = emptyList(),
    val usage: EngineUsage? = null,
    val error: JsonElement? = null,
)

/** Tokens that a request consumed. */
@Serializable
internal data class EngineUsage(
    @SerialName("prompt_tokens") val prompt: Long = 0,
    @SerialName("completion_tokens") val completion: Long = 0,
)

/** Decodes messages from engines, ignoring fields that the system does not know. */
internal val EngineJson: Json = Json { ignoreUnknownKeys = true }
