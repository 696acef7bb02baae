package org.ragwortbank.standins.drill

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * What was done and seen in a drill.
 *
 * @property published configurations in the order of their versions
 * @property services services that ran a request, by its id
 */
data class DrillRecord(
    val published: PersistentList<PublishedConfig> = persistentListOf(),
    val disturbances: PersistentList<Disturbance> = persistentListOf(),
    val requests: PersistentList<DrillRequest> = persistentListOf(),
    val services: PersistentMap<String, String> = persistentMapOf(),
) {
    /** How [request] was handled. */
    fun outcome(request: DrillRequest): Outcome {
        val service = services[request.id]
        return when {
            service != null -> Outcome.Run(service)
            request.status in DENIALS -> Outcome.Denied
            else -> Outcome.Undecided
        }
    }

    private companion object {
        val DENIALS = setOf(401, 403, 404)
    }
}
