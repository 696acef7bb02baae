package org.ragwortbank.core.serving

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.model.RouteName
import kotlin.time.Duration

/** What may be repeated, and how the answer comes. */
enum class RequestKind {
    /** May run more than once; the answer comes as a whole. */
    IDEMPOTENT,

    /** May run once only; the answer comes as a whole. */
    NON_IDEMPOTENT,

    /** The answer is a series of events. */
    STREAM,
}

/** A service to which a route sends a share of its requests. */
data class WeightedService(
    val service: ServiceName,
    val weight: Int,
)

/**
 * A route, selected by host and path.
 *
 * @property prefix beginning of the path, with a slash at either end
 * @property isResumable whether a broken stream may be continued by another upstream
 * @property targets services that share the route's requests by weight
 * @property timeout longest time that a request may be kept waiting for the end of its answer
 * @property targetLatency time within which an answer, or a stream's first event, earns its full credit
 * @property maxAttempts most upstreams to which one request may be sent
 * @property priority rank, where 0 is the most urgent
 * @property isPublic whether requests need no key
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
) {
    /** Whether a request that may have run may be sent again. */
    val isRetryable: Boolean get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && isResumable)

    /** The service for a request whose [hash] is evenly distributed. */
    fun targetFor(hash: Int): ServiceName? {
        val total = targets.sumOf { it.weight }
        if (total <= 0) return null
        var rest = Math.floorMod(hash, total)
        return targets.firstOrNull { target ->
            rest -= target.weight
            rest < 0
        }?.service
    }
}
