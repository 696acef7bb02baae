package org.ragwortbank.core.serving

import kotlinx.collections.immutable.PersistentMap

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
 * A service as configured.
 *
 * @property engine capacity of its model engines; null for a service without models
 * @property maxConnections connections that each upstream accepts from all callers; null when it isn't known
 */
data class ServiceSpec(
    val name: ServiceName,
    val engine: EngineSpec?,
    val maxConnections: Int? = null,
)
