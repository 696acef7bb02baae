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
    /** Whether the key-value service takes calls at [now]. */
    fun storeWorks(now: Timestamp): Boolean = now >= storeDownUntil

    /** Whether answers of the key-value service arrive at [now]. */
    fun storeAnswers(now: Timestamp): Boolean = storeWorks(now) && now >= storeLosesUntil
}
