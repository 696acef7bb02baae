package org.ragwortbank.core.serving

import kotlinx.collections.immutable.PersistentMap

/**
 * A base model that a service's engines may hold.
 *
 * @property weightsMegabytes size of its weights
 * @property adapterMegabytes size of each of its adapters
 */
data class ModelSpec(
    val name: String,
    val weightsMegabytes: Double,
    val adapterMegabytes: Double,
)

/**
 * What the model engines of a service can hold.
 *
 * @property memoryMegabytes room for weights and adapters together
 * @property adapterSlots most adapters at once, those under way included
 */
data class EngineSpec(
    val models: PersistentMap<String, ModelSpec>,
    val memoryMegabytes: Double,
    val adapterSlots: Int,
)

/**
 * A service as configured.
 *
 * @property engine what its engines can hold; null for a plain service
 */
data class ServiceSpec(
    val name: ServiceName,
    val engine: EngineSpec?,
)
