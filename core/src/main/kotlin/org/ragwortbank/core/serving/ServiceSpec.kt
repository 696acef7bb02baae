package org.ragwortbank.core.serving

import kotlinx.collections.immutable.PersistentMap
import kotlin.time.Duration

/**
 * A base model that a service's engines may load.
 *
 * @property weightsMegabytes memory that its weights take
 * @property adapterMegabytes memory that each of its adapters takes
 */
data class ModelSpec(
    val name: String,
    val weightsMegabytes: Double,
    val adapterMegabytes: Double,
)

/**
 * Capacity of a service's model engines.
 *
 * @property models base models that the engines may load, by name
 * @property memoryMegabytes memory for weights and adapters together
 * @property adapterSlots largest number of resident and loading adapters together
 * @property promptMemoryTokens memory for running requests and cached prompt parts, in tokens; 0 when it isn't known
 */
data class EngineSpec(
    val models: PersistentMap<String, ModelSpec>,
    val memoryMegabytes: Double,
    val adapterSlots: Int,
    val promptMemoryTokens: Long = 0,
)

/**
 * What an upstream bears for a while after it has started.
 *
 * @property duration how long it is cold after a start
 * @property requestsPerSecond requests that it bears while it is cold
 */
data class ColdStart(
    val duration: Duration,
    val requestsPerSecond: Double,
) {
    /** Longest time for which a cold upstream is believed. */
    val longestDuration: Duration get() = duration * MAX_FACTOR

    private companion object {
        const val MAX_FACTOR = 4
    }
}

/**
 * A service as configured.
 *
 * @property engine capacity of its model engines; null for a service without models
 * @property maxConnections connections that each upstream accepts from all callers; null when it isn't known
 * @property cold what its upstreams bear after a start; null if they bear everything at once
 */
data class ServiceSpec(
    val name: ServiceName,
    val engine: EngineSpec?,
    val maxConnections: Int? = null,
    val cold: ColdStart? = null,
)
