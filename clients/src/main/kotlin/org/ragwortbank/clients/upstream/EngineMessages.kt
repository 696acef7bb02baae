package org.ragwortbank.clients.upstream

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** Orders an engine to load an adapter from [path]. */
@Serializable
data class LoadAdapterRequest(
    @SerialName("lora_name") val name: String,
    @SerialName("lora_path") val path: String,
)

/** Orders an engine to drop an adapter. */
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

/** The parts of an answer that the system looks at. */
@Serializable
internal data class EngineObject(
    val model: String? = null,
    val choices: List<JsonElement> = emptyList(),
    val usage: EngineUsage? = null,
    val error: JsonElement? = null,
)

/** Tokens that a request took. */
@Serializable
internal data class EngineUsage(
    @SerialName("prompt_tokens") val prompt: Long = 0,
    @SerialName("completion_tokens") val completion: Long = 0,
)

/** Reads what engines write, which may have fields that the system does not know. */
internal val EngineJson: Json = Json { ignoreUnknownKeys = true }
