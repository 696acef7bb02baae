package org.ragwortbank.node.admin

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * State of a process, as served at `/status`.
 *
 * @property role `entry`, `sidecar`, `gateway` or `placer`
 * @property configVersion version of the configuration in force; null while there is none, and for a sidecar or placer,
 *   which use none
 * @property requests number of open requests or runs
 * @property upstreams number of upstreams that accept work; null for a sidecar or placer
 * @property adapters adapters resident on the engine of a sidecar or placer; null for an entry or gateway
 * @property blocked what the requests have in common that a gateway refuses because upstreams crash of them
 * @property evacuated failure domains to whose upstreams a gateway sends nothing, with what is odd about each
 * @property fencing fencing token of a sidecar's commands; null while it has none and for other processes
 * @property stopping whether a graceful stop is in progress
 */
@Serializable
data class StatusDocument(
    val name: String,
    val role: String,
    val configVersion: Long? = null,
    val requests: Int,
    val upstreams: Int? = null,
    val adapters: List<String>? = null,
    val blocked: List<String>? = null,
    val evacuated: List<String>? = null,
    val fencing: Long? = null,
    val stopping: Boolean,
) {
    /** Encodes the document as JSON text. */
    fun toJson(): String = Json.encodeToString(serializer(), this)
}
