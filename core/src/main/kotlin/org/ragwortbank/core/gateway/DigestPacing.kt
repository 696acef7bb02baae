package org.ragwortbank.core.gateway

import kotlin.time.Duration

/**
 * Intervals between digests. They grow with the fleet, so that what one process sends and receives does not grow with
 * the square of it.
 */
internal object DigestPacing {
    private const val GATEWAYS_AT_FULL_DEMAND_RATE = 4.0
    private const val MAX_IDLE_DEMAND_FACTOR = 8.0
    private const val ENGINES_AT_FULL_RATE_IN_USE = 20.0
    private const val MAX_IN_USE_FACTOR = 2.0
    private const val ENGINES_AT_FULL_RATE_IDLE = 8.0
    private const val MAX_IDLE_FACTOR = 10.0
    private const val GATEWAYS_AT_FULL_PEER_RATE = 6.0
    private const val MAX_PEER_FACTOR = 12.0

    /** Time between digests to a placer whose engine this gateway doesn't use at present. */
    fun idleDemandInterval(base: Duration, gatewayCount: Int): Duration =
        base * (gatewayCount / GATEWAYS_AT_FULL_DEMAND_RATE).coerceIn(1.0, MAX_IDLE_DEMAND_FACTOR)

    /** Time between the digests of an engine that this gateway uses. */
    fun engineIntervalInUse(base: Duration, upstreamCount: Int): Duration =
        base * (upstreamCount / ENGINES_AT_FULL_RATE_IN_USE).coerceIn(1.0, MAX_IN_USE_FACTOR)

    /** Time between the digests of an engine that this gateway doesn't use at present. */
    fun idleEngineInterval(base: Duration, upstreamCount: Int): Duration =
        base * (upstreamCount / ENGINES_AT_FULL_RATE_IDLE).coerceIn(1.0, MAX_IDLE_FACTOR)

    /** Time between digests to the other gateways while the admitted tokens change slowly. */
    fun peerInterval(base: Duration, gatewayCount: Int): Duration =
        base * (gatewayCount / GATEWAYS_AT_FULL_PEER_RATE).coerceIn(1.0, MAX_PEER_FACTOR)
}
