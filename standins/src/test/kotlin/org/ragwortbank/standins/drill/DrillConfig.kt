package org.ragwortbank.standins.drill

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/**
 * A version of the operator's configuration.
 *
 * @property routes services by the prefixes that are routed to them
 * @property keys API keys of the only client account
 */
data class DrillConfig(
    val version: Long,
    val routes: PersistentMap<String, String>,
    val keys: PersistentSet<String>,
) {
    /** Whether [request] may be run while this version alone is in force. */
    fun serves(request: DrillRequest): Boolean = request.prefix in routes && request.key in keys

    /** Whether [request] may be handled as [outcome] while this version alone is in force. */
    fun allows(request: DrillRequest, outcome: Outcome): Boolean =
        when (outcome) {
            is Outcome.Run -> serves(request) && routes[request.prefix] == outcome.service
            Outcome.Denied -> !serves(request)
            Outcome.Undecided -> true
        }

    /** Encodes the version as the operator writes it. */
    fun toJson(): String = buildJsonObject {
        put("version", version)
        putJsonArray("routes") {
            routes.forEach { (prefix, service) ->
                addJsonObject {
                    put("name", prefix.trim('/'))
                    put("host", HOST)
                    put("prefix", prefix)
                    put("service", service)
                    put("route_type", "idempotent")
                    put("timeout_ms", ROUTE_TIMEOUT_MILLIS)
                    put("max_attempts", 2)
                }
            }
        }
        putJsonArray("services") { SERVICES.forEach { addJsonObject { put("name", it) } } }
        putJsonArray("tenants") {
            addJsonObject {
                put("name", "club")
                putJsonArray("api_keys") { keys.forEach { add(it) } }
            }
        }
    }.toString()

    companion object {
        /** Host name of all routes. */
        const val HOST = "drill.example"

        /** Names of the services. */
        val SERVICES = listOf("desk", "shelf")
        private const val ROUTE_TIMEOUT_MILLIS = 2_000
    }
}
