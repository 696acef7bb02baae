package org.ragwortbank.core.serving

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import org.ragwortbank.core.model.Region
import org.ragwortbank.core.model.RouteName
import kotlin.time.Duration

/** Whether requests of a route may be repeated, and whether the response is streamed. */
enum class RequestKind {
    /** May run more than once; the response is not streamed. */
    IDEMPOTENT,

    /** Must not run more than once; the response is not streamed. */
    NON_IDEMPOTENT,

    /** The response is a stream of events. */
    STREAM,
}

/** A service that gets a share of a route's requests in proportion to [weight]. */
data class WeightedService(
    val service: ServiceName,
    val weight: Int,
)

/**
 * A route, selected by host and path.
 *
 * @property prefix path prefix, with a slash at both ends
 * @property isResumable whether another upstream may continue a broken stream
 * @property targets services that share the route's requests by weight
 * @property timeout limit on the time from a request to the end of its response
 * @property targetLatency time within which a response, or a stream's first event, earns its full credit
 * @property maxEventGap longest pause between events that still earns a stream its full credit; null for none
 * @property maxAttempts largest number of upstreams to which one request may be sent
 * @property priority rank, where 0 is the most urgent
 * @property isPublic whether requests need no API key
 * @property homes regions whose upstreams may serve its requests; null for any
 */
data class ServingRoute(
    val name: RouteName,
    val host: String,
    val prefix: String,
    val kind: RequestKind,
    val isResumable: Boolean,
    val targets: PersistentList<WeightedService>,
    val timeout: Duration,
    val targetLatency: Duration,
    val maxAttempts: Int,
    val priority: Int,
    val isPublic: Boolean,
    val maxEventGap: Duration? = null,
    val homes: PersistentSet<Region>? = null,
) {
    /** Whether a request may be sent again after it may have run. */
    val isRetryable: Boolean get() = kind == RequestKind.IDEMPOTENT || isResumableStream

    /** Whether a broken stream may go on with another request. */
    val isResumableStream: Boolean get() = kind == RequestKind.STREAM && isResumable

    /** The service for a request, selected by weight; [hash] must be uniformly distributed. */
    fun targetFor(hash: Int): ServiceName? {
        val totalWeight = targets.sumOf { it.weight }
        if (totalWeight <= 0) return null
        var remaining = Math.floorMod(hash, totalWeight)
        return targets.firstOrNull { target ->
            remaining -= target.weight
            remaining < 0
        }?.service
    }
}
