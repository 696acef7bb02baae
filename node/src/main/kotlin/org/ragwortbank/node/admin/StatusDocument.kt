package org.ragwortbank.node.admin

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * State of a process, as served at `/status`.
 *
 * @property role `entry` or `sidecar`
 * @property configVersion version of the configuration in force; null for a sidecar, which uses none
 * @property requests number of open requests or runs
 * @property upstreams number of upstreams that accept work; null for a sidecar
 * @property adapters adapters resident on the sidecar's engine; null for an entry
 * @property fencing fencing token of the sidecar's commands; null while it has none
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
    val fencing: Long? = null,
    val stopping: Boolean,
) {
    /** Encodes the document as JSON text. */
    fun toJson(): String = Json.encodeToString(serializer(), this)
}
