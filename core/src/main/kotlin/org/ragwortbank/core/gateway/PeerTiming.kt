package org.ragwortbank.core.gateway

import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

private const val IDLE_INTERVAL_FACTOR = 4
private const val MISSED_DIGESTS_UNTIL_TIMEOUT = 2.5

/** Share of an account's tokens in a window of its rate that may be in use without the others' knowledge. */
private const val URGENT_SHARE = 0.1

/** Before this age of its confirmation, a gateway has had no cause to doubt the store. */
private val CONFIRMATION_HELP_AGE = 2_500.milliseconds

/** Whether the other gateways should learn now what this one has admitted. */
internal fun GatewayTables.isPeerDigestDue(now: Timestamp): Boolean {
    val elapsed = peerDigestSentAt?.let { now - it }
    return when {
        elapsed == null -> true
        elapsed < settings.peerDigestInterval -> false
        else -> isPeerDigestDueAfter(elapsed, now)
    }
}

private fun GatewayTables.isPeerDigestDueAfter(elapsed: Duration, now: Timestamp): Boolean {
    val gatewayCount = gatewayCount
    return when {
        elapsed >= settings.idlePeerInterval(gatewayCount) || hasUnsentCrashes -> true
        elapsed >= settings.peerDigestInterval * IDLE_INTERVAL_FACTOR && isConfirmationAwaited(now) -> true
        elapsed >= settings.busyPeerInterval(gatewayCount) ->
            hasUnsentClearedTraits || buckets.any { (id, bucket) -> unsentTokens(id, bucket) != 0L }
        else -> buckets.any { (id, bucket) -> isUrgent(id, bucket, gatewayCount) }
    }
}

/** Whether this gateway or another one needs a digest of a peer to extend its lease on the configuration. */
private fun GatewayTables.isConfirmationAwaited(now: Timestamp): Boolean =
    timeSinceConfirmation(now) > CONFIRMATION_HELP_AGE || peers.values.any { it.needsConfirmation(now) }

/** Whether the latest digest of the peer, if it is recent, has shown an old confirmation. */
internal fun PeerRow.needsConfirmation(now: Timestamp): Boolean =
    confirmedAgo > CONFIRMATION_HELP_AGE && digestReceivedAt?.let { now - it < CONFIRMATION_HELP_AGE } ?: false

private fun GatewayTables.isUrgent(account: AccountId, bucket: FleetBucket, gatewayCount: Int): Boolean {
    val windowTokens = bucket.rate * settings.rateWindow.toDouble(DurationUnit.SECONDS) + bucket.burst
    return unsentTokens(account, bucket) * gatewayCount > windowTokens * URGENT_SHARE
}

private fun GatewayTables.unsentTokens(account: AccountId, bucket: FleetBucket): Long =
    bucket.ownConsumed - (sentPeerTotals.firstOrNull()?.get(account) ?: 0)

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
