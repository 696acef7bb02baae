package org.ragwortbank.standins.prepared

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.ragwortbank.clients.http.Address

/**
 * Immutable state of a worker of the prepared platform.
 *
 * @property model the model that is resident; null before one is loaded, and for a plain service
 * @property isModelLoading whether a model is being loaded
 * @property adapters versions of the resident adapters by name
 * @property loadingAdapters adapters that are being loaded
 * @property sequence number of commands accepted so far
 * @property runningRequests number of generation requests under way
 */
data class WorkerState(
    val model: String? = null,
    val isModelLoading: Boolean = false,
    val adapters: PersistentMap<String, Long> = persistentMapOf(),
    val loadingAdapters: PersistentSet<String> = persistentSetOf(),
    val sequence: Long = 0,
    val runningRequests: Int = 0,
) {
    /** Whether [model] and [adapter] are resident; an empty [adapter] stands for the base model alone. */
    fun canServe(model: String, adapter: String): Boolean =
        model == this.model && (adapter.isEmpty() || adapter in adapters)

    /** Encodes the state as the response to a report call. */
    fun toReportJson(): String = buildJsonObject {
        put("busy", isModelLoading)
        put("born", 1)
        put("sequence", sequence)
        put("active", runningRequests)
        put("queued", 0)
        putModels()
        putJsonArray("pending") { loadingAdapters.forEach { add("$model/$it@1") } }
    }.toString()

    /** Encodes the registration of the worker, with [version] of its software, as an instance of [service]. */
    fun toRegistrationJson(
        service: String,
        address: Address,
        zone: String = "zone-a",
        version: String? = null,
        born: Long = 1,
    ): String = buildJsonObject {
        if (version != null) put("version", version)
        put("service", service)
        put("address", address.toString())
        put("zone", zone)
        put("slots", REQUEST_SLOTS)
        put("state", "ready")
        put("sequence", sequence)
        put("born", born)
        putModels()
    }.toString()

    private fun JsonObjectBuilder.putModels() {
        putJsonArray("models") {
            if (model != null) {
                addJsonObject {
                    put("name", model)
                    put("version", 1)
                    putJsonArray("adapters") { adapters.forEach { (adapter, version) -> add("$adapter@$version") } }
                }
            }
        }
    }

    companion object {
        /** Number of requests that a worker can run at the same time. */
        const val REQUEST_SLOTS = 8
    }
}
