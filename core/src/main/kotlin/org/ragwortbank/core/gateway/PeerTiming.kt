package org.ragwortbank.core.gateway

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

private const val IDLE_INTERVAL_FACTOR = 4
private const val MISSED_DIGESTS_UNTIL_TIMEOUT = 2.5

/** Time between digests to the other gateways while the admitted tokens change slowly. */
internal val GatewayTables.busyPeerInterval: Duration
    get() = DigestPacing.peerInterval(settings.peerDigestInterval, gatewayCount)

/** Time between digests to the other gateways while nothing changes. */
internal val GatewayTables.idlePeerInterval: Duration
    get() = maxOf(settings.peerDigestInterval * IDLE_INTERVAL_FACTOR, busyPeerInterval)

/** Time after which a gateway that sends no digests counts as unresponsive. */
internal val GatewayTables.peerTimeout: Duration
    get() = maxOf(settings.peerDigestTimeout, idlePeerInterval * MISSED_DIGESTS_UNTIL_TIMEOUT)

/** Listed gateways without a digest for longer than the time-out, with the time since their last one. */
internal fun GatewayTables.unresponsivePeers(now: Timestamp): Map<String, Duration> {
    val timeout = peerTimeout
    return peers.values
        .filter { it.isListed && now - it.lastSignAt > timeout }
        .associate { it.name to now - it.lastSignAt }
}

private val PeerRow.lastSignAt: Timestamp get() = digestReceivedAt ?: addedAt
