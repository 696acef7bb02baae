package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.serving.ServingAccount
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What another entry has admitted for an account.
 *
 * @property admittedTotal tokens since the start of [incarnation], as it told last
 * @property charged tokens taken in advance since then, because it was silent
 */
data class PeerConsumption(
    val incarnation: Long,
    val admittedTotal: Long,
    val charged: Double = 0.0,
)

/**
 * An account's token bucket as one entry sees it: filled at the fleet's rate, emptied by what all entries admit.
 *
 * Each entry learns of the others' use from their digests. What was admitted before the digest came makes the level
 * negative and is made up by later refusals, so that the rate holds over time. An entry that is silent is charged
 * its share of the rate, as it does itself with all the others; both sides of a cut stay within the rate together.
 *
 * @property level tokens that may be admitted now
 * @property ownConsumed tokens admitted by this entry since its start
 */
data class FleetBucket(
    val rate: Long,
    val burst: Long,
    val level: Double,
    val updatedAt: Timestamp,
    val ownConsumed: Long = 0,
    val peers: PersistentMap<String, PeerConsumption> = persistentMapOf(),
) {
    /**
     * The bucket at [now]. The [unresponsivePeers] are charged their share among [gateways] for all of the time since
     * their last digest: until the time-out nobody knew that they were cut off.
     */
    fun refill(now: Timestamp, unresponsivePeers: Map<String, Duration>, gateways: Int): FleetBucket {
        val seconds = (now - updatedAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
        val due = unresponsivePeers.mapValues { (_, timeSinceLastDigest) ->
            rate * timeSinceLastDigest.toDouble(DurationUnit.SECONDS) / gateways.coerceAtLeast(1)
        }
        val chargedPeers = due.entries.fold(peers) { all, (name, tokens) -> all.charge(name, tokens) }
        val newlyCharged = due.entries.sumOf { (name, tokens) ->
            (tokens - (peers[name]?.charged ?: 0.0)).coerceAtLeast(0.0)
        }
        val filled = level + rate * seconds - newlyCharged
        return copy(level = filled.coerceAtMost(burst.toDouble()), updatedAt = now, peers = chargedPeers)
    }

    /** Whether a request of [tokens] may run; one that exceeds the burst may run when the bucket is full. */
    fun admits(tokens: Long): Boolean = level >= minOf(tokens, burst)

    /** The bucket after this entry admitted [tokens]; a negative number gives tokens back. */
    fun consume(tokens: Long): FleetBucket = copy(level = level - tokens, ownConsumed = ownConsumed + tokens)

    /** The bucket after [peer] told its [admittedTotal], which [countsFromZero] if it started after this entry. */
    fun receiveTotal(peer: String, incarnation: Long, admittedTotal: Long, countsFromZero: Boolean): FleetBucket {
        val known = peers[peer]
        val previousTotal = known?.takeIf { it.incarnation == incarnation }?.admittedTotal
        val consumed = (admittedTotal - (previousTotal ?: if (countsFromZero) 0 else admittedTotal)).toDouble()
        val corrected = (level - consumed + (known?.charged ?: 0.0)).coerceAtMost(burst.toDouble())
        return copy(level = corrected, peers = peers.put(peer, PeerConsumption(incarnation, admittedTotal)))
    }

    /** The same bucket under changed limits. */
    fun withLimits(account: ServingAccount): FleetBucket =
        copy(rate = account.rate, burst = account.burst, level = level.coerceAtMost(account.burst.toDouble()))

    /** How long the bucket must fill before it admits [tokens]. */
    fun timeUntilAdmitted(tokens: Long): Duration =
        ((minOf(tokens, burst) - level) / rate.coerceAtLeast(1)).coerceAtLeast(0.0).seconds

    private fun PersistentMap<String, PeerConsumption>.charge(
        name: String,
        due: Double,
    ): PersistentMap<String, PeerConsumption> {
        val known = this[name] ?: PeerConsumption(incarnation = 0, admittedTotal = 0)
        return put(name, known.copy(charged = maxOf(known.charged, due)))
    }
}
