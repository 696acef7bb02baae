package org.ragwortbank.core.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Over the fleet, accounts get their rate and no more, despite faults of single gateways. */
class RateFleetTest {
    @Test
    fun `given calls far above the rate and random faults, then no window of eight seconds exceeds the bound`() {
        (1..SEEDS).forEach { seed ->
            val random = Random(seed)
            val events = randomFaults(random)
            val fleet = RateFleet(random, callsPerSecond = 180, events)
            fleet.run(RUN_TIME)
            val maxTokens = fleet.maxTokensWithin(WINDOW)
            val found = "$maxTokens tokens in a window"
            assertTrue(maxTokens <= BOUND, "seed $seed, $events: $found, expected at most $BOUND")
        }
    }

    @Test
    fun `given calls below the rate and gateways that drop off the list, then at most 1 percent is refused`() {
        (1..SEEDS).forEach { seed ->
            val random = Random(seed)
            val lapses = (0..3).map { RateEvent(randomTick(random), it, RateFault.ListingLapse(4.seconds)) }
            val fleet = RateFleet(random, callsPerSecond = 40, lapses)
            fleet.run(RUN_TIME)
            assertTrue(fleet.refused <= fleet.arrived / 100, "seed $seed: ${fleet.refused} of ${fleet.arrived} refused")
        }
    }

    @Test
    fun `given calls below the rate and gateways that restart in turn, then at most 5 percent is refused`() {
        (1..SEEDS).forEach { seed ->
            val random = Random(seed)
            val restarts = (0..3).map { RateEvent(3.seconds + 4.seconds * it, it, RateFault.Restart(2.seconds)) }
            val fleet = RateFleet(random, callsPerSecond = 40, restarts)
            fleet.run(RUN_TIME)
            assertTrue(fleet.refused <= fleet.arrived / 20, "seed $seed: ${fleet.refused} of ${fleet.arrived} refused")
        }
    }

    @Test
    fun `given many gateways and an account far above its rate, then no window of eight seconds exceeds the bound`() {
        val size = RateFleetSize(gateways = 33, rate = 200_000)
        (1..LARGE_FLEET_SEEDS).forEach { seed ->
            val fleet = RateFleet(Random(seed), callsPerSecond = 1_360, emptyList(), size)
            fleet.run(RUN_TIME)
            val maxTokens = fleet.maxTokensWithin(WINDOW)
            val bound = boundFor(size.rate)
            assertTrue(maxTokens <= bound, "seed $seed: $maxTokens tokens in a window, expected at most $bound")
        }
    }

    // Guards against gateways that each take the rate for their own, because a copy of the store lacks the others.
    @Test
    fun `given a copy of the store without gateways and a hot account, then no window of 8 s exceeds the bound`() {
        val size = RateFleetSize(gateways = 33, rate = 200_000)
        (1..LARGE_FLEET_SEEDS).forEach { seed ->
            val fleet = RateFleet(Random(seed), callsPerSecond = 1_360, copies, size)
            fleet.run(RUN_TIME)
            val maxTokens = fleet.maxTokensWithin(WINDOW)
            val bound = boundFor(size.rate)
            assertTrue(maxTokens <= bound, "seed $seed: $maxTokens tokens in a window, expected at most $bound")
        }
    }

    @Test
    fun `given copies of the store without gateways and calls below the rate, then at most 1 percent is refused`() {
        (1..SEEDS).forEach { seed ->
            val fleet = RateFleet(Random(seed), callsPerSecond = 40, copies)
            fleet.run(RUN_TIME)
            assertTrue(fleet.refused <= fleet.arrived / 100, "seed $seed: ${fleet.refused} of ${fleet.arrived} refused")
        }
    }

    // Guards against gateways that all restart with empty memory and don't know what the others admit meanwhile.
    @Test
    fun `given many gateways that all restart under a hot account, then no window of 8 s exceeds the bound`() {
        val size = RateFleetSize(gateways = 29, rate = 80_000)
        (1..LARGE_FLEET_SEEDS).forEach { seed ->
            val random = Random(seed)
            val restarts = (0 until size.gateways).map { gateway ->
                val downTime = 500.milliseconds + 25.milliseconds * random.nextInt(24)
                RateEvent(6.seconds, gateway, RateFault.Restart(downTime))
            }
            val fleet = RateFleet(random, callsPerSecond = 500, restarts, size)
            fleet.run(16.seconds)
            val maxTokens = fleet.maxTokensWithin(WINDOW)
            val bound = boundFor(size.rate)
            assertTrue(maxTokens <= bound, "seed $seed: $maxTokens tokens in a window, expected at most $bound")
        }
    }

    @Test
    fun `given many gateways and an account at nine tenths of its rate, then at most 1 percent is refused`() {
        val size = RateFleetSize(gateways = 33, rate = 200_000)
        (1..LARGE_FLEET_SEEDS).forEach { seed ->
            val fleet = RateFleet(Random(seed), callsPerSecond = 164, emptyList(), size)
            fleet.run(RUN_TIME)
            assertTrue(fleet.refused <= fleet.arrived / 100, "seed $seed: ${fleet.refused} of ${fleet.arrived} refused")
        }
    }

    @Test
    fun `given twice as many gateways, then each sends and receives no more than 1,3 times as many digests`() {
        val perGateway = listOf(24, 48).map { gateways ->
            val fleet = RateFleet(Random(1), callsPerSecond = 100, emptyList(), RateFleetSize(gateways, rate = 200_000))
            fleet.run(10.seconds)
            fleet.digestsSent.toDouble() / gateways
        }
        assertTrue(perGateway[1] <= perGateway[0] * 1.3, "sent by each gateway: $perGateway")
    }

    private fun randomFaults(random: Random): List<RateEvent> = (1..5).map {
        val duration = 1_500.milliseconds + random.nextInt(4_000).milliseconds
        val fault = when (random.nextInt(3)) {
            0 -> RateFault.Restart(duration)
            1 -> RateFault.ListingLapse(duration)
            else -> RateFault.Partition(duration)
        }
        RateEvent(randomTick(random), random.nextInt(RateFleet.GATEWAYS), fault)
    }

    /** A random time, at a whole number of ticks. */
    private fun randomTick(random: Random): Duration = 2.seconds + 25.milliseconds * random.nextInt(640)

    private companion object {
        /** The store comes back twice within a second, and once more. */
        val copies = listOf(5.seconds, 5_700.milliseconds, 11.seconds)
            .map { RateEvent(it, gateway = 0, RateFault.OlderCopy(1_500.milliseconds)) }

        const val SEEDS = 16
        const val LARGE_FLEET_SEEDS = 3
        val RUN_TIME = 25.seconds
        val WINDOW = 8.seconds

        /** Rate times window plus burst, 10 % more, and 17 000 tokens of slack that the operators allow. */
        fun boundFor(rate: Long) = (rate * 8 + rate) * 11 / 10 + 17_000

        val BOUND = boundFor(RateFleet.RATE)
    }
}
