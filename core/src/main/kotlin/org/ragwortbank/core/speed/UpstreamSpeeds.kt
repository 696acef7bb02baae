package org.ragwortbank.core.speed

import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/**
 * The speeds of a service's upstreams at [now], as a gateway knows them.
 *
 * @property service what is known of the service as a whole; null if nothing is decided by speed
 * @property digestLifetime age above which a placer's digest isn't used
 */
class UpstreamSpeeds(
    val service: ServiceSpeed?,
    private val now: Timestamp,
    private val digestLifetime: Duration,
) {
    /** Whether upstreams are chosen by their speed. */
    val isUneven: Boolean get() = service != null

    /** Time for one token of a run at [upstream] in milliseconds, the usual one where it isn't known; 0 if none is. */
    fun millisPerToken(upstream: UpstreamRow): Double =
        upstream.learnedMillisPerToken(now, digestLifetime) ?: service?.millisPerToken ?: 0.0

    /** Time that work takes at [upstream] now by the time that it usually takes at the median upstream. */
    fun slownessAt(upstream: UpstreamRow): Double {
        val lasting = service?.millisPerToken?.let { millisPerToken(upstream) / it } ?: 1.0
        return lasting * (1.0 + (upstream.slowness?.excessAt(now) ?: 0.0))
    }
}
