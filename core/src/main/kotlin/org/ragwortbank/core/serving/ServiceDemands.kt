package org.ragwortbank.core.serving

import kotlin.time.Duration

/**
 * What the routes to one service ask of its upstreams.
 *
 * @property shortestEventGap shortest pause between events that their callers accept; null if no route bounds it
 * @property hasResumableStreams whether their broken streams may go on with another request
 */
data class ServiceDemands(
    val shortestEventGap: Duration? = null,
    val hasResumableStreams: Boolean = false,
) {
    /** These demands with those of [route] added. */
    operator fun plus(route: ServingRoute): ServiceDemands =
        ServiceDemands(
            shortestEventGap = listOfNotNull(shortestEventGap, route.maxEventGap).minOrNull(),
            hasResumableStreams = hasResumableStreams || route.isResumableStream,
        )
}
