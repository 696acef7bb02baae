package org.ragwortbank.experiments.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.limits.LimitEpoch
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Timestamp

/** The key-value service and the instance list. */
data class FakePlatform(
    val epoch: LimitEpoch? = null,
    val configuration: Configuration,
    val listed: PersistentMap<InstanceName, Instance> = persistentMapOf(),
    val storeDownUntil: Timestamp = Timestamp(0),
    val storeLosesUntil: Timestamp = Timestamp(0),
    val listDownUntil: Timestamp = Timestamp(0),
) {
    /** The platform after [event], which happens at [now]. */
    fun after(event: FleetEvent, now: Timestamp): FakePlatform =
        when (event) {
            is FleetEvent.StoreDown -> copy(storeDownUntil = now + event.duration)
            is FleetEvent.StoreLosesAnswers -> copy(storeLosesUntil = now + event.duration)
            is FleetEvent.ListDown -> copy(listDownUntil = now + event.duration)
            is FleetEvent.Listed -> copy(listed = listed.put(event.instance.name, event.instance))
            is FleetEvent.Unlisted -> copy(listed = listed.remove(event.name))
            else -> this
        }

    /** Whether the key-value service takes calls at [now]. */
    fun storeWorks(now: Timestamp): Boolean = now >= storeDownUntil

    /** Whether answers of the key-value service arrive at [now]. */
    fun storeAnswers(now: Timestamp): Boolean = storeWorks(now) && now >= storeLosesUntil
}
