package org.ragwortbank.core.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds and intervals of a gateway's decisions.
 *
 * @property keyAuthority how long keys may be accepted after the store last confirmed the configuration
 * @property staleVersion how long an adapter's previous version may still be used after a newer one was named
 * @property loadPatience longest wait of a request for its adapter
 * @property demandInterval time between digests to a placer while nothing changes
 * @property peerInterval time between digests to the other entries while the accounts are in use
 * @property peerSilence after which an entry that sends no digests is charged its share of each rate
 * @property digestLifetime age at which a placer's digest is no longer believed
 * @property retryRatio extra sends allowed per request, over the whole fleet
 * @property retrySlack extra sends allowed besides, over the whole fleet
 * @property drainGrace how long a stopping process takes new requests, until callers are led elsewhere
 * @property drainLimit after which a stopping process ends with requests under way
 * @property sweepInterval time between checks of deadlines
 */
data class GatewaySettings(
    val keyAuthority: Duration = 4_800.milliseconds,
    val staleVersion: Duration = 2_500.milliseconds,
    val loadPatience: Duration = 2_500.milliseconds,
    val demandInterval: Duration = 500.milliseconds,
    val peerInterval: Duration = 150.milliseconds,
    val peerSilence: Duration = 1_200.milliseconds,
    val digestLifetime: Duration = 1_500.milliseconds,
    val retryRatio: Double = 0.2,
    val retrySlack: Int = 50,
    val drainGrace: Duration = 2_500.milliseconds,
    val drainLimit: Duration = 7.seconds,
    val sweepInterval: Duration = 20.milliseconds,
)

/**
 * Who this entry is.
 *
 * @property incarnation distinguishes the processes that run under one name; a later one has a higher number
 * @property firstStart whether the whole system starts for the first time
 */
data class GatewayIdentity(
    val name: String,
    val incarnation: Long,
    val firstStart: Boolean = true,
)
