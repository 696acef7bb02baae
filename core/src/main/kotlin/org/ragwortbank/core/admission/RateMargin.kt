package org.ragwortbank.core.admission

import org.ragwortbank.core.gateway.FleetBucket
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.busyPeerInterval
import org.ragwortbank.core.gateway.unresponsivePeers
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.DurationUnit

/**
 * What a request needs in its account's bucket at this gateway.
 *
 * @property overdraftTokens tokens by which the level may fall below zero
 * @property requiredTokens tokens that the level and the overdraft must hold for the request, of which it takes its own
 */
data class RateMargin(
    val overdraftTokens: Double,
    val requiredTokens: Double,
)

/** Decides by how much the level of a bucket must exceed what a request takes. */
fun interface RateMarginPolicy {
    /** The margin for a request of [tokens] from [bucket] at [now]. */
    fun marginFor(tables: GatewayTables, bucket: FleetBucket, tokens: Long, now: Timestamp): RateMargin
}

/**
 * Spends a part of the operators' [RateTolerance], and admits large requests only while there is room for several.
 *
 * A gateway doesn't see what the others admit at the moment. While an account asks for more than its rate, each
 * requires room for as many such requests as the others may be admitting. So they agree on which requests are too
 * large, as they would with one exact bucket, and more requests are served of the same tokens. That room is required of
 * the overdraft alone: nothing is refused for which the level suffices.
 *
 * A gateway that has known the account for less than the window, as after a restart, doesn't know what was admitted
 * before, and one that is cut off from the others doesn't know what they admit. Neither spends anything of the
 * tolerance.
 */
class SharedMargin : RateMarginPolicy {
    override fun marginFor(
        tables: GatewayTables,
        bucket: FleetBucket,
        tokens: Long,
        now: Timestamp,
    ): RateMargin {
        val least = bucket.marginOf(tokens)
        val tolerance = tables.settings.rateTolerance?.takeIf { Feature.PRESSURE in tables.settings.features }
            ?: return least
        val overdraft = overdraft(tables, bucket, tolerance, now)
        val forOthers = tokens * unseenRequests(tables, bucket, tokens)
        return RateMargin(overdraft, least.requiredTokens + minOf(forOthers, overdraft))
    }

    /** At most [SPENT_SHARE] of the tolerance, and no more than the window has room for. */
    private fun overdraft(
        tables: GatewayTables,
        bucket: FleetBucket,
        tolerance: RateTolerance,
        now: Timestamp,
    ): Double {
        if (!tables.identity.isFirstStart && !bucket.use.covers(tolerance.window, now)) return 0.0
        val tolerated = tolerance.tokensFor(bucket)
        val limit = tolerance.ratedTokens(bucket) + tolerated * SPENT_SHARE
        val room = limit - bucket.use.within(tolerance.window, now) - bucket.unreported(now)
        return minOf(tolerated * SPENT_SHARE, room).coerceAtLeast(0.0) * tables.knownShare(now)
    }

    /** Requests that the other gateways admit, at the account's rate, before this one learns of them. */
    private fun unseenRequests(tables: GatewayTables, bucket: FleetBucket, tokens: Long): Double {
        val unseenSeconds = tables.settings.busyPeerInterval(tables.gatewayCount).toDouble(DurationUnit.SECONDS) / 2
        val unseenTokens = bucket.rate * unseenSeconds
        val usualTokens = bucket.usualTokens ?: tokens.coerceAtLeast(1).toDouble()
        return (unseenTokens / usualTokens).coerceAtMost(tables.gatewayCount - 1.0)
    }

    /** Nearly 1 in a large fleet whose gateways all respond; 0 when a quarter of them don't, or in a small fleet. */
    private fun GatewayTables.knownShare(now: Timestamp): Double {
        val unknown = unresponsivePeers(now).size / MAX_UNRESPONSIVE_SHARE + UNNOTICED_GATEWAYS
        return (1 - unknown / gatewayCount).coerceAtLeast(0.0)
    }

    private companion object {
        /** The rest is left for what gateways admit without the others' knowledge. */
        const val SPENT_SHARE = 0.5
        const val MAX_UNRESPONSIVE_SHARE = 0.25

        /** Gateways that may be cut off or restarted at once before the others notice. */
        const val UNNOTICED_GATEWAYS = 4.0
    }
}
