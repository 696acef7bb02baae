package org.ragwortbank.core.serving

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlin.time.Duration

/**
 * What the routes to one service ask of its upstreams.
 *
 * @property ranks ranks of these routes
 * @property shortestEventGap shortest pause between events that their callers accept; null if no route bounds it
 */
data class ServiceDemands(
    val ranks: PersistentSet<Int> = persistentSetOf(),
    val shortestEventGap: Duration? = null,
) {
    /** These demands with those of [route] added. */
    operator fun plus(route: ServingRoute): ServiceDemands =
        ServiceDemands(
            ranks = ranks.add(route.priority),
            shortestEventGap = listOfNotNull(shortestEventGap, route.maxEventGap).minOrNull(),
        )
}
