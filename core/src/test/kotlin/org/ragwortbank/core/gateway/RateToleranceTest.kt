package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.admission.RateTolerance
import org.ragwortbank.core.serving.Feature
import kotlin.math.exp
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a fleet admits of what one exact bucket would admit, and that it stays within what the operators tolerate. */
class RateToleranceTest {
    @Test
    fun `given a large account at six times its use, then at most 40 percent of what one bucket admits is lost`() {
        val lost = lostShares(RateFleetSize(FLEET, rate = 200_000), callFactor = HOT)
        assertTrue(lost.average() <= 0.4, "refused of what one bucket admits: $lost")
    }

    @Test
    fun `given a small account at six times its use, then at most 40 percent of what one bucket admits is lost`() {
        val lost = lostShares(RateFleetSize(FLEET, rate = 20_000), callFactor = HOT)
        assertTrue(lost.average() <= 0.4, "refused of what one bucket admits: $lost")
    }

    @Test
    fun `given the smallest accounts at their usual use, then one bucket would admit at most 2 percent more`() {
        val lost = lostShares(RateFleetSize(FLEET, rate = 6_000), callFactor = 1.0)
        assertTrue(lost.average() <= 0.02, "refused of what one bucket admits: $lost")
    }

    @Test
    fun `given a hot account and random faults, then no window of eight seconds exceeds the bound`() {
        listOf(6_000L, 200_000L).forEach { rate ->
            (1..SEEDS).forEach { seed -> assertBounded(RateFleetSize(FLEET, rate), hotFor(HOT), seed) }
        }
    }

    @Test
    fun `given an account that is always far above its rate and random faults, then no window exceeds the bound`() {
        (1..SEEDS).forEach { seed -> assertBounded(RateFleetSize(FLEET, rate = 60_000), { ALWAYS_HOT }, seed) }
    }

    @Test
    fun `given a small fleet far above the rate and random faults, then no window exceeds the bound`() {
        listOf(4, 8).forEach { gateways ->
            (1..SMALL_FLEET_SEEDS).forEach { seed ->
                assertBounded(RateFleetSize(gateways, rate = 60_000), { ALWAYS_HOT }, seed)
            }
        }
    }

    private fun assertBounded(size: RateFleetSize, factorAt: (Duration) -> Double, seed: Int) {
        val random = Random(seed)
        val events = randomFaults(random, size.gateways)
        val fleet = fleet(random, size, events, factorAt)
        fleet.run(RUN_TIME)
        val maxTokens = fleet.maxTokensWithin(TOLERANCE.window)
        val bound = (size.rate * 8 + size.rate) * 11 / 10 + 17_000
        val found = "$maxTokens tokens in a window, expected at most $bound"
        assertTrue(maxTokens <= bound, "rate ${size.rate}, seed $seed, $events: $found")
    }

    /** For each seed, the share of the calls admitted by one exact bucket that the fleet refused. */
    private fun lostShares(size: RateFleetSize, callFactor: Double): List<Double> = (1..LOAD_SEEDS).map { seed ->
        val fleet = fleet(Random(seed), size, emptyList(), hotFor(callFactor))
        fleet.run(HOT_UNTIL)
        val central = fleet.centrallyAdmitted(size.rate).filter { it.at >= HOT_FROM }
        central.count { it.number !in fleet.admitted }.toDouble() / central.size
    }

    private fun fleet(random: Random, size: RateFleetSize, events: List<RateEvent>, factorAt: (Duration) -> Double) =
        RateFleet(
            random = random,
            callsPerSecond = 1,
            events = events,
            size = size,
            load = RateLoad({ factorAt(it) * size.rate / QUOTA_FACTOR / MEAN_TOKENS }, ::tokens),
            settings = GatewaySettings(rateTolerance = TOLERANCE, features = persistentSetOf(Feature.PRESSURE)),
        )

    private fun hotFor(factor: Double): (Duration) -> Double =
        { at -> if (at >= HOT_FROM && at < HOT_UNTIL) factor else 1.0 }

    /** Log-normal, as prompts and answers are. */
    private fun tokens(random: Random): Long {
        val exponent = random.asJavaRandom().nextGaussian() * SPREAD - SPREAD * SPREAD / 2
        return (MEAN_TOKENS * exp(exponent)).toLong().coerceIn(MIN_TOKENS, MAX_TOKENS)
    }

    private fun randomFaults(random: Random, gateways: Int): List<RateEvent> = (1..gateways / 3 + 3).map {
        val duration = 1_500.milliseconds + random.nextInt(4_000).milliseconds
        val fault = when (random.nextInt(4)) {
            0 -> RateFault.Restart(duration)
            1 -> RateFault.ListingLapse(duration)
            2 -> RateFault.Freeze(duration)
            else -> RateFault.Partition(duration)
        }
        RateEvent(2.seconds + 25.milliseconds * random.nextInt(480), random.nextInt(gateways), fault)
    }

    private companion object {
        const val FLEET = 22
        const val HOT = 6.0
        const val ALWAYS_HOT = 10.0
        const val SEEDS = 4
        const val SMALL_FLEET_SEEDS = 8
        const val LOAD_SEEDS = 3

        /** Quota of an account as a multiple of its usual use. */
        const val QUOTA_FACTOR = 1.8
        const val MEAN_TOKENS = 1_100.0
        const val SPREAD = 0.8
        const val MIN_TOKENS = 60L
        const val MAX_TOKENS = 7_000L
        val HOT_FROM = 6.seconds
        val HOT_UNTIL = 12.seconds
        val RUN_TIME = 18.seconds
        val TOLERANCE = RateTolerance(window = 8.seconds, overage = 0.1, slackTokens = 17_000.0)
    }
}
