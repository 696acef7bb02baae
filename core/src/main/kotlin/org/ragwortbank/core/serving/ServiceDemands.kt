package org.ragwortbank.core.serving

import kotlin.time.Duration

/**
 * What the routes to one service ask of its upstreams.
 *
 * @property shortestEventGap shortest pause between events that their callers accept; null if no route bounds it
 */
data class ServiceDemands(
    val shortestEventGap: Duration? = null,
) {
    /** These demands with those of [route] added. */
    operator fun plus(route: ServingRoute): ServiceDemands =
        ServiceDemands(listOfNotNull(shortestEventGap, route.maxEventGap).minOrNull())
}
