package org.ragwortbank.core.versions

import org.ragwortbank.core.versions.StreamFleetFault.Drill
import org.ragwortbank.core.versions.StreamFleetFault.Kill
import org.ragwortbank.core.versions.StreamFleetFault.Restart
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Streams that are taken up while upstreams of two versions serve and the store has come back from an older copy. */
class StoreDrillFleetTest {
    // Guards against gateways that start after a drill and take a copy without records for whole.
    @Test
    fun `given all gateways killed as the store comes back older, then no stream goes on at another version`() =
        play { random ->
            val drill = Drill(copyAge = copyAge(random), awayTime = 1.seconds)
            val kill = Kill((0 until GATEWAYS).toSet(), 500.milliseconds + 25.milliseconds * random.nextInt(60))
            StreamFleetPlan(faults = newerHalf() + (DRILL_AT to drill) + (DRILL_AT to kill))
        }

    @Test
    fun `given gateways that are killed one by one around two drills, then no stream goes on at another version`() =
        play { random ->
            val drills = listOf(DRILL_AT, DRILL_AT + 5.seconds).map {
                it to Drill(copyAge(random), 300.milliseconds + 25.milliseconds * random.nextInt(40))
            }
            val kills = (0..7).map {
                val number = random.nextInt(GATEWAYS)
                DRILL_AT - 2.seconds + 1.seconds * it to Kill(setOf(number), 25.milliseconds * random.nextInt(60))
            }
            StreamFleetPlan(faults = newerHalf() + drills + kills, badWriteShare = 0.1)
        }

    @Test
    fun `given a copy that is older than the release, when all gateways are killed, then no stream is joined`() =
        play { random ->
            val drill = Drill(copyAge = 7.seconds, awayTime = 500.milliseconds)
            val kill = Kill((0 until GATEWAYS).toSet(), 25.milliseconds * random.nextInt(60))
            StreamFleetPlan(faults = newerHalf() + (12.seconds to drill) + (12.seconds to kill))
        }

    // Guards against streams that are refused for minutes after a drill, though they began after it.
    @Test
    fun `given a store that came back older, when streams that began since are taken up elsewhere, then they go on`() =
        play(minShare = GOES_ON) { random ->
            val drill = DRILL_AT to Drill(copyAge(random), awayTime = 1.seconds)
            StreamFleetPlan(faults = newerHalf() + drill + killsAfter(DRILL_AT + 6.seconds, random))
        }

    @Test
    fun `given one version and a store that came back older, when gateways are killed since, then streams go on`() =
        play(minShare = GOES_ON) { random ->
            val drill = DRILL_AT to Drill(copyAge(random), awayTime = 1.seconds)
            StreamFleetPlan(faults = listOf(drill) + killsAfter(DRILL_AT + 3.seconds, random))
        }

    private fun killsAfter(from: Duration, random: Random) =
        (0..5).map { from + 2.seconds * it to Kill(setOf(random.nextInt(GATEWAYS)), 500.milliseconds) }

    private fun play(time: Duration = 36.seconds, minShare: Double = 0.0, plan: (Random) -> StreamFleetPlan) =
        (FIRST_SEED until FIRST_SEED + SEEDS).forEach { seed ->
            val random = Random(seed)
            val fleet = StreamVersionFleet(random, plan(random))
            fleet.run(time)
            val (count, share) = fleet.takeUps
            println("seed $seed: ${fleet.joined.size} of ${fleet.streams.size} joined, $share of $count go on")
            assertEquals(emptyList(), fleet.joined, "seed $seed: ${fleet.joined.size} of ${fleet.streams.size} joined")
            assertTrue(count >= MIN_TAKE_UPS, "seed $seed: $count take-ups")
            assertTrue(share >= minShare * fleet.shareBegun, "seed $seed: $share go on, ${fleet.shareBegun} begin")
        }

    private fun copyAge(random: Random) = 2.seconds + 25.milliseconds * random.nextInt(80)

    /** The upstreams 0 to 2 are replaced by ones of a newer version, one after the other. */
    private fun newerHalf() =
        (0..2).map { number -> 4.seconds + 500.milliseconds * number to Restart(number, 1.seconds, "new") }

    private companion object {
        const val GATEWAYS = 4
        const val MIN_TAKE_UPS = 12

        /** Share of the streams taken up that go on, of the share of new streams that begin. */
        const val GOES_ON = 0.9
        val DRILL_AT = 16.seconds

        /** `-Dversions.seeds=50` plays more of them. */
        val SEEDS = Integer.getInteger("versions.seeds", 3)
        val FIRST_SEED = Integer.getInteger("versions.seed", 1)
    }
}
