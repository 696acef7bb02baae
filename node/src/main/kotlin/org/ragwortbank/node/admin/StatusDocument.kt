package org.ragwortbank.node.admin

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * State of a process, as the status page shows it.
 *
 * @property role `entry` or `sidecar`
 * @property configVersion version of the operators' tables in force; null for a sidecar, which uses none
 * @property requests requests or runs held
 * @property upstreams upstreams that accept work, for an entry
 * @property adapters adapters that the engine holds, for a sidecar
 * @property fencing number of the sidecar's orders; null while it has none
 * @property stopping whether a graceful stop is under way
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
    /** The document as JSON text. */
    fun toJson(): String = Json.encodeToString(serializer(), this)
}
