package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Timestamp

/**
 * The key-value service and the instance list.
 *
 * @property storeOutageUntil until when the key-value service takes no calls
 * @property storeResponseLossUntil until when it performs calls but its responses are lost
 * @property instanceListOutageUntil until when the instance list can't be read
 */
data class SimulatedPlatform(
    val epoch: LimitEpoch? = null,
    val configuration: Configuration,
    val listedInstances: PersistentMap<InstanceName, Instance> = persistentMapOf(),
    val storeOutageUntil: Timestamp = Timestamp(0),
    val storeResponseLossUntil: Timestamp = Timestamp(0),
    val instanceListOutageUntil: Timestamp = Timestamp(0),
) {
    /** The platform after [event], which happens at [now]. */
    fun withEvent(event: FleetEvent, now: Timestamp): SimulatedPlatform =
        when (event) {
            is FleetEvent.StoreOutage -> copy(storeOutageUntil = now + event.duration)
            is FleetEvent.StoreResponseLoss -> copy(storeResponseLossUntil = now + event.duration)
            is FleetEvent.InstanceListOutage -> copy(instanceListOutageUntil = now + event.duration)
            is FleetEvent.AddToInstanceList ->
                copy(listedInstances = listedInstances.put(event.instance.name, event.instance))
            is FleetEvent.RemoveFromInstanceList -> copy(listedInstances = listedInstances.remove(event.name))
            else -> this
        }

    /** Whether the key-value service accepts calls at [now]. */
    fun isStoreReachable(now: Timestamp): Boolean = now >= storeOutageUntil

    /** Whether the key-value service accepts calls at [now] and its responses arrive. */
    fun isStoreResponding(now: Timestamp): Boolean = isStoreReachable(now) && now >= storeResponseLossUntil
}
