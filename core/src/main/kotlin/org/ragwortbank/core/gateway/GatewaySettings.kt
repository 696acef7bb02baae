package org.ragwortbank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds and intervals of a gateway's decisions.
 *
 * @property configurationLease how long keys may be accepted after the store last confirmed the configuration
 * @property previousVersionLifetime time for which an adapter's previous version stays usable after a newer one
 * @property maxLoadWait longest wait of a request for its adapter
 * @property demandDigestInterval time between digests to a placer while nothing changes
 * @property peerDigestInterval time between digests to the other entries while the accounts are in use
 * @property peerDigestTimeout after which an entry that sends no digests is charged its share of each rate
 * @property engineDigestLifetime age at which a placer's digest is no longer believed
 * @property retryRatio extra sends allowed per request, over the whole fleet
 * @property retrySlack extra sends allowed besides, over the whole fleet
 * @property drainGrace how long a stopping process takes new requests, until callers are led elsewhere
 * @property drainTimeout after which a stopping process ends with requests under way
 * @property sweepInterval time between checks of deadlines
 */
data class GatewaySettings(
    val configurationLease: Duration = 4_800.milliseconds,
    val previousVersionLifetime: Duration = 2_500.milliseconds,
    val maxLoadWait: Duration = 2_500.milliseconds,
    val demandDigestInterval: Duration = 500.milliseconds,
    val peerDigestInterval: Duration = 150.milliseconds,
    val peerDigestTimeout: Duration = 1_200.milliseconds,
    val engineDigestLifetime: Duration = 1_500.milliseconds,
    val retryRatio: Double = 0.2,
    val retrySlack: Int = 50,
    val drainGrace: Duration = 2_500.milliseconds,
    val drainTimeout: Duration = 7.seconds,
    val sweepInterval: Duration = 20.milliseconds,
)

/**
 * Who this entry is.
 *
 * @property incarnation distinguishes the processes that run under one name; a later one has a higher number
 * @property isFirstStart whether the whole system starts for the first time
 */
data class GatewayIdentity(
    val name: String,
    val incarnation: Long,
    val isFirstStart: Boolean = true,
)
