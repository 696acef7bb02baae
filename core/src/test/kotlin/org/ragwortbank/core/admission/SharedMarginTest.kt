package org.ragwortbank.core.admission

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.FleetBucket
import org.ragwortbank.core.gateway.GatewayIdentity
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.PeerRow
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class SharedMarginTest {
    private val now = Timestamp(0) + 100.seconds
    private val bucket = FleetBucket(rate = 10_000, burst = 10_000, level = 10_000.0, updatedAt = now)
        .consume(1_000)

    @Test
    fun `given settings without the feature, then a request requires its tokens and no overdraft is given`() {
        assertEquals(RateMargin(0.0, 700.0), margin(tables().with(SETTINGS.copy(features = persistentSetOf())), 700))
    }

    @Test
    fun `given operators that tolerate nothing, then a request requires its tokens and no overdraft is given`() {
        assertEquals(RateMargin(0.0, 700.0), margin(tables().with(SETTINGS.copy(rateTolerance = null)), 700))
    }

    @Test
    fun `given a large fleet that responds, then at most half of the tolerance is spent`() {
        val overdraft = margin(tables(), 700).overdraftTokens
        assertTrue(overdraft in TOLERATED * 0.4..TOLERATED * 0.5, "$overdraft of $TOLERATED")
    }

    @Test
    fun `given a window that is nearly used up, then no more is given than is left`() {
        val used = bucket.sampled(now - 7.seconds).consume(103_000).copy(level = 0.0)
        val overdraft = margin(tables(), 700, used).overdraftTokens
        assertTrue(overdraft in 0.0..RATED + TOLERATED / 2 - 103_000, "$overdraft")
    }

    @Test
    fun `given a gateway that restarted within the window, then no overdraft is given`() {
        assertEquals(0.0, margin(tables(isFirstStart = false, startedAgo = 7.seconds), 700).overdraftTokens)
        val known = bucket.sampled(now - 9.seconds)
        assertTrue(margin(tables(isFirstStart = false, startedAgo = 9.seconds), 700, known).overdraftTokens > 0)
    }

    // A gateway that restarted while the store was down got its configuration, and so its buckets, seconds later.
    @Test
    fun `given a restarted gateway that knows the account for less than the window, then no overdraft is given`() {
        val known = bucket.sampled(now - 2.seconds)
        assertEquals(0.0, margin(tables(isFirstStart = false, startedAgo = 9.seconds), 700, known).overdraftTokens)
    }

    @Test
    fun `given a quarter of the fleet that doesn't respond, then no overdraft is given`() {
        assertEquals(0.0, margin(tables(silentPeers = 6), 700).overdraftTokens)
        assertTrue(margin(tables(silentPeers = 2), 700).overdraftTokens > 0)
    }

    @Test
    fun `given a small fleet, then no overdraft is given`() {
        assertEquals(0.0, margin(tables(gateways = 4), 700).overdraftTokens)
    }

    @Test
    fun `given requests of different sizes, then a larger one requires more than its tokens exceed the smaller ones`() {
        val small = margin(tables(), 200)
        val large = margin(tables(), 800)
        assertTrue(large.requiredTokens - small.requiredTokens > 1_000, "$small, $large")
    }

    @Test
    fun `given a level that holds a request, then it is admitted whatever its size and the state of the fleet`() {
        val fleets = listOf(tables(), tables(gateways = 4), tables(silentPeers = 6), tables(gateways = 350))
        listOf(60L, 1_100L, 7_000L).forEach { tokens ->
            val level = bucket.copy(level = tokens.toDouble())
            fleets.forEach { assertTrue(level.admits(margin(it, tokens, level), now), "$tokens tokens") }
        }
    }

    private fun margin(tables: GatewayTables, tokens: Long, of: FleetBucket = bucket): RateMargin =
        SharedMargin().marginFor(tables, of, tokens, now)

    private fun FleetBucket.sampled(at: Timestamp) = copy(use = use.sample(at, 8.seconds))

    private fun tables(
        isFirstStart: Boolean = true,
        startedAgo: Duration = 20.seconds,
        gateways: Int = 22,
        silentPeers: Int = 0,
    ) = GatewayTables(
        identity = GatewayIdentity("entry-0", 1, isFirstStart),
        settings = SETTINGS,
        startedAt = now - startedAgo,
        peers = peers(gateways - 1, silentPeers),
    )

    private fun GatewayTables.with(settings: GatewaySettings) = copy(settings = settings)

    private fun peers(count: Int, silent: Int): PersistentMap<String, PeerRow> =
        (1..count).associate { number ->
            val heardAt = if (number <= silent) now - 5.seconds else now
            val name = "entry-$number"
            val endpoint = Endpoint("10.0.0.$number", 80)
            name to PeerRow(name, endpoint, digestReceivedAt = heardAt, addedAt = now - 20.seconds)
        }.toPersistentMap()

    private companion object {
        val SETTINGS = GatewaySettings(
            features = persistentSetOf(Feature.PRESSURE),
            rateTolerance = RateTolerance(window = 8.seconds, overage = 0.1, slackTokens = 17_000.0),
        )

        /** Rate times window plus burst. */
        const val RATED = 90_000.0
        const val TOLERATED = 9_000.0 + 17_000.0
    }
}
