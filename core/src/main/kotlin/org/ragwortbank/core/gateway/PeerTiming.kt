package org.ragwortbank.core.gateway

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

private const val IDLE_INTERVAL_FACTOR = 4
private const val MISSED_DIGESTS_UNTIL_TIMEOUT = 2.5

/** Time between digests to the other gateways while the admitted tokens change slowly. */
internal fun GatewaySettings.busyPeerInterval(gatewayCount: Int): Duration =
    DigestPacing.peerInterval(peerDigestInterval, gatewayCount)

/** Time between digests to the other gateways while nothing changes. */
internal fun GatewaySettings.idlePeerInterval(gatewayCount: Int): Duration =
    maxOf(peerDigestInterval * IDLE_INTERVAL_FACTOR, busyPeerInterval(gatewayCount))

/** Time after which a gateway that sends no digests counts as unresponsive. */
internal fun GatewaySettings.peerTimeout(gatewayCount: Int): Duration =
    maxOf(peerDigestTimeout, idlePeerInterval(gatewayCount) * MISSED_DIGESTS_UNTIL_TIMEOUT)

/** Listed gateways without a digest for longer than the time-out, with the time since their last one. */
internal fun GatewayTables.unresponsivePeers(now: Timestamp): Map<String, Duration> {
    val timeout = settings.peerTimeout(gatewayCount)
    return peers.values
        .filter { it.isListed && now - it.lastSignAt > timeout }
        .associate { it.name to now - it.lastSignAt }
}

private val PeerRow.lastSignAt: Timestamp get() = digestReceivedAt ?: addedAt
