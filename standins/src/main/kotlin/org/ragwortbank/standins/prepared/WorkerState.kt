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
 * What a worker of the prepared platform holds.
 *
 * @property model the one model that it serves; null before it is loaded, and for a plain service
 * @property adapters versions by name
 * @property loadingAdapters adapters whose load is under way
 * @property sequence orders accepted so far
 */
data class WorkerState(
    val model: String? = null,
    val isModelLoading: Boolean = false,
    val adapters: PersistentMap<String, Long> = persistentMapOf(),
    val loadingAdapters: PersistentSet<String> = persistentSetOf(),
    val sequence: Long = 0,
    val runningRequests: Int = 0,
) {
    /** Whether it can serve [model] with [adapter], which is empty for the model itself. */
    fun canServe(model: String, adapter: String): Boolean =
        model == this.model && (adapter.isEmpty() || adapter in adapters)

    /** Its report. */
    fun toReportJson(): String = buildJsonObject {
        put("busy", isModelLoading)
        put("sequence", sequence)
        put("active", runningRequests)
        put("queued", 0)
        putModels()
        putJsonArray("pending") { loadingAdapters.forEach { add("$model/$it@1") } }
    }.toString()

    /** Its entry on the list of workers of [service] at [address]. */
    fun toRegistrationJson(service: String, address: Address): String = buildJsonObject {
        put("service", service)
        put("address", address.toString())
        put("zone", "zone-a")
        put("slots", REQUEST_SLOTS)
        put("state", "ready")
        put("sequence", sequence)
        put("born", 1)
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
        /** Requests at once. */
        const val REQUEST_SLOTS = 8
    }
}
