package org.ragwortbank.core.versions

import org.ragwortbank.core.versions.StreamFleetFault.Cut
import org.ragwortbank.core.versions.StreamFleetFault.Drill
import org.ragwortbank.core.versions.StreamFleetFault.Freeze
import org.ragwortbank.core.versions.StreamFleetFault.Kill
import org.ragwortbank.core.versions.StreamFleetFault.Restart
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Streams of a gateway that is cut off or stands still while upstreams of another software version join. */
class OutOfStepFleetTest {
    @Test
    fun `given a gateway out of step, when a release with new ids joins, then streams stay apart`() =
        play { random ->
            val release = restarts(random, keepsId = false) + restarts(random, keepsId = false, from = 20.seconds)
            StreamFleetPlan(faults = release + outOfStep(random) + crashes(random))
        }

    // Guards against an upstream that starts again under its id at another version, at a gateway with an old list.
    @Test
    fun `given a gateway out of step, when upstreams keep their ids, then streams stay apart`() =
        play { random ->
            val release = restarts(random, keepsId = true) + restarts(random, keepsId = true, from = 20.seconds)
            StreamFleetPlan(faults = release + outOfStep(random) + crashes(random))
        }

    @Test
    fun `given a gateway out of step, when the store goes through a drill, then streams stay apart`() =
        play { random ->
            val drill = 14.seconds + 25.milliseconds * random.nextInt(120) to Drill(3.seconds, 500.milliseconds)
            val faults = restarts(random, keepsId = false) + outOfStep(random) + crashes(random) + drill
            StreamFleetPlan(faults = faults)
        }

    private fun play(plan: (Random) -> StreamFleetPlan) {
        val joined = (FIRST_SEED until FIRST_SEED + SEEDS).map { seed ->
            val random = Random(seed)
            val fleet = StreamVersionFleet(random, plan(random))
            fleet.run(RUN_TIME)
            val (count, share) = fleet.takeUps
            println("seed $seed: ${fleet.joined.size} joined, $share of $count go on, ${fleet.shareBegun} begin")
            assertTrue(count >= MIN_TAKE_UPS, "seed $seed: $count take-ups")
            fleet.joined.size
        }
        assertTrue(joined.all { it <= MAX_JOINED }, "joined $joined")
    }

    /** The upstreams 0 to 2 start again at the other version, one after the other. */
    private fun restarts(random: Random, keepsId: Boolean, from: Duration = 8.seconds) =
        (0..2).map { number ->
            val downTime = 300.milliseconds + 25.milliseconds * random.nextInt(40)
            val version = if (from == 8.seconds) "new" else "old"
            from + 1.seconds * number to Restart(number, downTime, version, keepsId, isListed = true)
        }

    /** Gateway 0 is out of step through both releases, and again. */
    private fun outOfStep(random: Random) =
        listOf(7.seconds, 13.seconds, 19.seconds, 26.seconds).map { from ->
            val time = 2_800.milliseconds + 25.milliseconds * random.nextInt(160)
            from to if (random.nextBoolean()) Cut(0, time + 1.seconds) else Freeze(0, time)
        }

    /** Upstreams and another gateway end, so that streams break. */
    private fun crashes(random: Random) =
        (0..4).map { 13.seconds + 3.seconds * it to Kill(setOf(1 + random.nextInt(GATEWAYS - 1)), 500.milliseconds) } +
            (0..2).map { 15.seconds + 1.seconds * it to Restart(it, 500.milliseconds, "new", isListed = true) }

    private companion object {
        const val GATEWAYS = 4
        const val MIN_TAKE_UPS = 12

        /** More break the rule that streams stay at the version that began them. */
        const val MAX_JOINED = 2
        val RUN_TIME = 40.seconds

        /** `-Dversions.seeds=50` plays more of them. */
        val SEEDS = Integer.getInteger("versions.seeds", 3)
        val FIRST_SEED = Integer.getInteger("versions.seed", 1)
    }
}
