package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.admission.RateMargin
import org.ragwortbank.core.admission.ReturnPlan
import org.ragwortbank.core.admission.WindowUse
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.ServingAccount
import org.ragwortbank.core.tick.Timestamp
import kotlin.math.sign
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Tokens that another gateway has admitted for an account.
 *
 * @property admittedTotal tokens since the start of [incarnation], from its latest digest
 * @property reportedAt when that digest arrived; null before the first
 * @property tokensPerSecond moving average of what it admits per second, from its digests; null before the second
 * @property charged tokens charged in advance since then, while it was unresponsive
 */
data class PeerConsumption(
    val incarnation: Long,
    val admittedTotal: Long,
    val reportedAt: Timestamp? = null,
    val tokensPerSecond: Double? = null,
    val charged: Double = 0.0,
) {
    /**
     * Tokens that it has likely admitted since its latest digest; 0 while it is charged for being unresponsive. Before
     * its second digest it is expected to admit [usualTokensPerSecond].
     */
    fun unreported(now: Timestamp, usualTokensPerSecond: Double): Double {
        if (charged > 0 || reportedAt == null) return 0.0
        val elapsed = (now - reportedAt).coerceIn(Duration.ZERO, MAX_EXTRAPOLATION)
        return (tokensPerSecond ?: usualTokensPerSecond) * elapsed.toDouble(DurationUnit.SECONDS)
    }

    /** This consumption after a digest that arrived at [now] reported [total], [consumed] tokens more than before. */
    fun afterDigest(total: Long, consumed: Double, now: Timestamp): PeerConsumption {
        val interval = reportedAt?.let { (now - it).coerceAtLeast(MIN_INTERVAL) }
        val latest = interval?.let { consumed.coerceAtLeast(0.0) / it.toDouble(DurationUnit.SECONDS) }
        val average = latest?.let { it * NEWEST_WEIGHT + (tokensPerSecond ?: 0.0) * OLDER_WEIGHT }
        return PeerConsumption(incarnation, total, now, average)
    }

    private companion object {
        const val NEWEST_WEIGHT = 0.5
        const val OLDER_WEIGHT = 1 - NEWEST_WEIGHT

        /** Digests that arrive together after a delay must not look like a high rate. */
        val MIN_INTERVAL = 100.milliseconds

        /** Longer silences are charged to a gateway as one that is unresponsive. */
        val MAX_EXTRAPOLATION = 2.seconds
    }
}

/**
 * One gateway's replica of an account's token bucket: filled at the fleet's rate, drained by what all gateways admit.
 *
 * Each gateway learns from digests what the others have admitted. Tokens admitted elsewhere before a digest arrives
 * can make the level negative; later refusals make up for them, so that the rate holds over time. Until then, what each
 * of the others admitted before is expected to go on, so that they do not all admit the same tokens. An unresponsive
 * gateway is charged its share of the rate, and charges all the others in the same way, so both sides of a network
 * partition stay within the rate together. Of a gateway that has not reported twice, it is expected that it admits as
 * much as this one, since all of them may have restarted together under the same load.
 *
 * @property level tokens that may be admitted now
 * @property ownConsumed tokens admitted by this gateway since its start
 * @property ownRequests requests that they were admitted for
 * @property createdAt since when [ownConsumed] counts
 * @property gateways listed gateways, including this one
 * @property use what the level was drained by lately
 * @property returns when the callers that were refused are to return
 * @property fullAt when it was last seen full; null if it never was
 */
data class FleetBucket(
    val rate: Long,
    val burst: Long,
    val level: Double,
    val updatedAt: Timestamp,
    val ownConsumed: Long = 0,
    val peers: PersistentMap<String, PeerConsumption> = persistentMapOf(),
    val ownRequests: Long = 0,
    val use: WindowUse = WindowUse(),
    val returns: ReturnPlan = ReturnPlan(),
    val createdAt: Timestamp = updatedAt,
    val gateways: Int = 1,
    val fullAt: Timestamp? = null,
) {
    /** Mean tokens of the requests that this gateway has admitted; null before the first. */
    val usualTokens: Double? get() = if (ownRequests > 0) ownConsumed.toDouble() / ownRequests else null

    /**
     * The bucket at [now]. The [unresponsivePeers] are charged their share among [gateways] for all of the time since
     * their last digest, including the time before the time-out, in which they were not known to be cut off.
     */
    fun refill(now: Timestamp, unresponsivePeers: Map<String, Duration>, gateways: Int): FleetBucket {
        val seconds = (now - updatedAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
        val due = unresponsivePeers.mapValues { (_, timeSinceLastDigest) ->
            rate * timeSinceLastDigest.toDouble(DurationUnit.SECONDS) / gateways.coerceAtLeast(1)
        }
        val chargedPeers = due.entries.fold(peers) { updated, (name, tokens) -> updated.charge(name, tokens) }
        val newlyCharged = due.entries.sumOf { (name, tokens) ->
            (tokens - (peers[name]?.charged ?: 0.0)).coerceAtLeast(0.0)
        }
        val newLevel = level + rate * seconds - newlyCharged
        return copy(
            level = newLevel.coerceAtMost(burst.toDouble()),
            updatedAt = now,
            peers = chargedPeers,
            use = use.plus(newlyCharged),
            gateways = gateways,
            fullAt = if (newLevel >= burst) now else fullAt,
        )
    }

    /** Tokens that may be admitted at [now], less what the other gateways have likely admitted meanwhile. */
    fun available(now: Timestamp): Double = level - unreported(now)

    /** Tokens that the other gateways have likely admitted since their latest digests. */
    fun unreported(now: Timestamp): Double {
        val seconds = (now - createdAt).coerceAtLeast(MIN_OWN_TIME).toDouble(DurationUnit.SECONDS)
        val silentPeers = (gateways - 1 - peers.size).coerceAtLeast(0)
        val usual = minOf(ownConsumed / seconds, rate * HOT_FACTOR / gateways)
        return silentPeers * usual * seconds + peers.values.sumOf { it.unreported(now, usual) }
    }

    /** The margin of a request of [tokens] without more; one above the burst is admitted when the bucket is full. */
    fun marginOf(tokens: Long): RateMargin = RateMargin(overdraftTokens = 0.0, minOf(tokens, burst).toDouble())

    /** Whether a request with [margin] is admitted at [now]. */
    fun admits(margin: RateMargin, now: Timestamp): Boolean =
        available(now) + margin.overdraftTokens >= margin.requiredTokens

    /** The bucket after this gateway admitted [tokens]; a negative number returns tokens. */
    fun consume(tokens: Long): FleetBucket =
        copy(
            level = level - tokens,
            ownConsumed = ownConsumed + tokens,
            ownRequests = ownRequests + tokens.sign,
            use = use.plus(tokens.toDouble()),
        )

    /**
     * The bucket after a digest of [peer] that arrived at [now] reported its [admittedTotal].
     *
     * @param countsFromZero whether the first total of an incarnation counts in full, because it started after this
     * gateway; otherwise only what is added to that total later counts
     */
    fun receiveTotal(
        peer: String,
        incarnation: Long,
        admittedTotal: Long,
        countsFromZero: Boolean,
        now: Timestamp,
    ): FleetBucket {
        val existing = peers[peer]
        val previous = existing?.takeIf { it.incarnation == incarnation }
        val previousTotal = previous?.admittedTotal ?: if (countsFromZero) 0 else admittedTotal
        val consumed = (admittedTotal - previousTotal).toDouble()
        val used = consumed - (existing?.charged ?: 0.0)
        val before = previous ?: PeerConsumption(incarnation, previousTotal)
        return copy(
            level = (level - used).coerceAtMost(burst.toDouble()),
            peers = peers.put(peer, before.afterDigest(admittedTotal, consumed, now)),
            use = use.plus(used),
        )
    }

    /** This bucket with the limits of [account]; a level above the new burst is cut to it. */
    fun withLimits(account: ServingAccount): FleetBucket =
        copy(
            rate = account.tokensPerSecond,
            burst = account.burstTokens,
            level = level.coerceAtMost(account.burstTokens.toDouble()),
        )

    /** Time until the bucket, filled at its rate, admits a request with [margin]. */
    fun timeUntilAdmitted(margin: RateMargin, now: Timestamp): Duration {
        val missing = margin.requiredTokens - margin.overdraftTokens - available(now)
        return (missing / rate.coerceAtLeast(1)).coerceAtLeast(0.0).seconds
    }

    private companion object {
        /** Shorter times say nothing of what a gateway admits per second. */
        val MIN_OWN_TIME = 100.milliseconds

        /** What a gateway is expected to admit at most, by its share of the rate. */
        const val HOT_FACTOR = 2.0
    }

    private fun PersistentMap<String, PeerConsumption>.charge(
        name: String,
        due: Double,
    ): PersistentMap<String, PeerConsumption> {
        val existing = this[name] ?: PeerConsumption(incarnation = 0, admittedTotal = 0)
        return put(name, existing.copy(charged = maxOf(existing.charged, due)))
    }
}

/** This bucket with a sample of its use at [now], for a comparison of the last [window] with the rate. */
internal fun FleetBucket.sampleUse(now: Timestamp, window: Duration): FleetBucket = copy(use = use.sample(now, window))

/** [bucket] with a sample of its use at [now], where something is decided by that. */
internal fun GatewayTables.withUseSampled(bucket: FleetBucket, now: Timestamp): FleetBucket =
    if (Feature.PRESSURE in settings.features) bucket.sampleUse(now, settings.rateWindow) else bucket
