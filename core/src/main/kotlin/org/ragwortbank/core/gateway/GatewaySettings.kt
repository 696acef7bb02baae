package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.admission.RateTolerance
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.Region
import org.ragwortbank.core.pressure.PressureLimits
import org.ragwortbank.core.serving.Feature
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Time limits, intervals and budgets of a gateway.
 *
 * @property configurationLease time for which keys are accepted after the store last confirmed the configuration
 * @property previousVersionLifetime time for which an adapter's previous version stays usable after a newer one
 * @property maxLoadWait longest time that a request waits for its adapter to load
 * @property demandDigestInterval time between digests to a placer while nothing changes
 * @property engineDigestInterval time between the digests of an engine in a small fleet
 * @property peerDigestInterval time between digests to the other gateways in a small fleet while its totals change
 * @property peerDigestTimeout shortest time after which a gateway without digests is charged its share of each rate
 * @property engineDigestLifetime shortest age above which a placer's digest is ignored
 * @property rateWindow time over which the operators compare what an account used with its rate
 * @property rateTolerance what the operators tolerate beyond the accounts' rates; null when it isn't known
 * @property retryRatio retries allowed per request, over the whole fleet
 * @property retrySlack retries allowed in addition, over the whole fleet
 * @property drainGrace time for which a draining process admits new requests, until callers are routed elsewhere
 * @property drainTimeout time after which a draining process stops even with requests under way
 * @property storeReadDelay time between a reply of the store and the next read of its changes
 * @property sweepInterval time between checks of deadlines
 * @property coldOverage requests to a cold upstream in a second, as a multiple of what its service states
 * @property coldSlack requests to a cold upstream in a second in addition
 * @property pressure bounds on what is held for slow readers, with [Feature.PRESSURE]
 * @property features parts of the product that this deployment asks for
 * @property regions region of each failure domain
 */
data class GatewaySettings(
    val configurationLease: Duration = 4_800.milliseconds,
    val previousVersionLifetime: Duration = 2_125.milliseconds,
    val maxLoadWait: Duration = 2_500.milliseconds,
    val demandDigestInterval: Duration = 500.milliseconds,
    val engineDigestInterval: Duration = 400.milliseconds,
    val peerDigestInterval: Duration = 150.milliseconds,
    val peerDigestTimeout: Duration = 1_200.milliseconds,
    val engineDigestLifetime: Duration = 1_500.milliseconds,
    val rateWindow: Duration = 8.seconds,
    val rateTolerance: RateTolerance? = null,
    val retryRatio: Double = 0.2,
    val retrySlack: Double = 50.0,
    val drainGrace: Duration = 2_500.milliseconds,
    val drainTimeout: Duration = 7.seconds,
    val storeReadDelay: Duration = 750.milliseconds,
    val sweepInterval: Duration = 20.milliseconds,
    val coldOverage: Double = 1.0,
    val coldSlack: Double = 0.0,
    val pressure: PressureLimits = PressureLimits(),
    val features: PersistentSet<Feature> = persistentSetOf(),
    val regions: PersistentMap<FailureDomain, Region> = persistentMapOf(),
) {
    /** Time after a stop request after which nothing more is sent, since its answer would likely be cut off. */
    val lastSendAfterStop: Duration get() = (drainTimeout - USUAL_ANSWER_TIME).coerceAtLeast(Duration.ZERO)

    /** Time after a stop request for which new requests are admitted. */
    val admissionAfterStop: Duration get() = minOf(drainGrace, lastSendAfterStop)

    private companion object {
        val USUAL_ANSWER_TIME = 3.seconds
    }
}

/**
 * Identity of a gateway process.
 *
 * @property incarnation start of the process in Unix milliseconds by its own clock
 * @property isFirstStart whether the whole system starts for the first time
 * @property domain failure domain of its instance
 */
data class GatewayIdentity(
    val name: String,
    val incarnation: Long,
    val isFirstStart: Boolean = true,
    val domain: FailureDomain = FailureDomain("default"),
)
