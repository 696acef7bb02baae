package org.ragwortbank.core.pacing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Gateways that have more requests waiting than their one upstream bears, which is new at first. */
class PaceFleetTest {
    private val trouble = 4.seconds
    private val fleets = listOf(1, 4, 21, 29)

    private fun replay(
        gateways: Int,
        time: Duration,
        rule: PaceRule = LoadFollowingPace(),
        upstreamAt: (Duration) -> ModelUpstream = { ModelUpstream() },
    ) = PaceFleet(PaceLoad(gateways), rule, upstreamAt).run(time)

    private fun assertNoFlood(fleet: PaceFleet, case: String) {
        val most = fleet.mostHeld()
        assertTrue(most <= PaceFleet.SLOTS * 1.2, "$case: held $most")
        assertEquals(emptyList(), fleet.failures, case)
    }

    private fun assertUsed(fleet: PaceFleet, case: String, from: Duration, until: Duration) {
        val use = fleet.use(PaceFleet.SLOTS, from, until)
        assertTrue(use >= 0.9, "$case: use $use")
    }

    private fun assertReached(fleet: PaceFleet, case: String, from: Duration = Duration.ZERO) {
        val time = assertNotNull(fleet.timeToNineTenths(PaceFleet.SLOTS, from), case)
        assertTrue(time <= 3.seconds, "$case: nine tenths after $time")
    }

    @Test
    fun `given a start while requests wait, then 1 to 300 gateways fill the upstream in time and don't flood it`() {
        (fleets + 300).forEach { gateways ->
            val fleet = replay(gateways, 8.seconds)
            assertReached(fleet, "$gateways gateways")
            assertNoFlood(fleet, "$gateways gateways")
            assertUsed(fleet, "$gateways gateways", 3.seconds, 8.seconds)
        }
    }

    @Test
    fun `given a crash, then the upstream is filled again in time and not flooded`() {
        fleets.forEach { gateways ->
            val fleet = replay(gateways, 10.seconds) { ModelUpstream(isUp = it < trouble || it > 5.seconds) }
            assertReached(fleet, "$gateways gateways", 5.seconds)
            assertNoFlood(fleet, "$gateways gateways")
        }
    }

    @Test
    fun `given an upstream that is down and up for 1200 ms by turns, then it is used when it stays up`() {
        fleets.forEach { gateways ->
            val fleet = replay(gateways, 12.seconds) { time ->
                val isTurnDown = (time.inWholeMilliseconds / 1_200) % 2 == 1L
                ModelUpstream(isUp = time !in trouble..8.seconds || !isTurnDown)
            }
            assertReached(fleet, "$gateways gateways", 8.seconds)
            assertNoFlood(fleet, "$gateways gateways")
        }
    }

    @Test
    fun `given a phase in which a third of the requests is lost, then the upstream is filled again in time after it`() {
        fleets.forEach { gateways ->
            val fleet = replay(gateways, 12.seconds) {
                ModelUpstream(losesEach = if (it in trouble..8.seconds) 3 else 0)
            }
            assertReached(fleet, "$gateways gateways", 8.seconds)
            assertNoFlood(fleet, "$gateways gateways")
        }
    }

    @Test
    fun `given a slow phase, then what the upstream bears stays in use`() {
        listOf(4.0, 8.0).forEach { slowness ->
            fleets.forEach { gateways ->
                val fleet = replay(gateways, 12.seconds) {
                    ModelUpstream(slowness = if (it in trouble..8.seconds) slowness else 1.0)
                }
                assertUsed(fleet, "$gateways gateways, slow by $slowness", trouble, 12.seconds)
                assertNoFlood(fleet, "$gateways gateways, slow by $slowness")
            }
        }
    }

    @Test
    fun `given a noisy neighbour for half a second, then the upstream isn't throttled`() {
        fleets.forEach { gateways ->
            val fleet = replay(gateways, 8.seconds) {
                ModelUpstream(slowness = if (it in trouble..trouble + 500.milliseconds) 2.5 else 1.0)
            }
            assertUsed(fleet, "$gateways gateways", trouble, 8.seconds)
            assertNoFlood(fleet, "$gateways gateways")
        }
    }

    @Test
    fun `given a burst of long prompts, then the upstream isn't throttled`() {
        fleets.forEach { gateways ->
            val fleet = replay(gateways, 8.seconds) {
                ModelUpstream(promptTokens = if (it in trouble..6.seconds) 4_000 else 600)
            }
            assertUsed(fleet, "$gateways gateways", trouble, 8.seconds)
            assertNoFlood(fleet, "$gateways gateways")
        }
    }

    @Test
    fun `given an upstream that bears a quarter of its slots, then that is found, and noticed when it bears all`() {
        fleets.forEach { gateways ->
            val fleet = replay(gateways, 9.seconds) { ModelUpstream(bears = if (it < trouble) 12 else PaceFleet.SLOTS) }
            assertTrue(fleet.use(bears = 12, 2.seconds, trouble) >= 0.9, "$gateways gateways")
            assertReached(fleet, "$gateways gateways", trouble)
            assertEquals(emptyList(), fleet.failures)
        }
    }

    @Test
    fun `given two of four gateways that die, then the others use their share`() {
        val load = PaceLoad(4, waiting = { if (it > trouble) 0..1 else 0..3 })
        val fleet = PaceFleet(load).run(9.seconds)
        assertUsed(fleet, "two of four", 5.5.seconds, 9.seconds)
        assertNoFlood(fleet, "two of four")
    }

    @Test
    fun `given one gateway of 29 with requests, then it alone fills the upstream`() {
        val fleet = PaceFleet(PaceLoad(29, waiting = { 3..3 })).run(9.seconds)
        assertReached(fleet, "one of 29")
        assertNoFlood(fleet, "one of 29")
    }

    @Test
    fun `given one request a second at each gateway, then each learns to lift its limit`() {
        val fleet = PaceFleet(PaceLoad(29, perSecond = 1.0)).run(8.seconds)
        assertEquals(setOf<PacePhase?>(PacePhase.FULL), fleet.phases().toSet())
        assertNoFlood(fleet, "one a second")
    }

    @Test
    fun `given no reports of the load, then answers alone keep the upstream in use with few rejections`() {
        fleets.forEach { gateways ->
            val fleet = PaceFleet(PaceLoad(gateways, hasReports = false)).run(8.seconds)
            assertReached(fleet, "$gateways gateways")
            assertUsed(fleet, "$gateways gateways", 3.seconds, 8.seconds)
            assertTrue(fleet.failures.size <= 8, "$gateways gateways: ${fleet.failures.size} rejections")
        }
    }

    @Test
    fun `given no limit or a fixed ramp, then the same start floods the upstream`() {
        listOf(NoPace(), FixedRamp()).forEach { rule ->
            val fleet = replay(29, 6.seconds, rule)
            assertTrue(fleet.mostHeld() >= PaceFleet.SLOTS * 1.5, "$rule")
            assertTrue(fleet.failures.size > 500, "$rule: ${fleet.failures.size} rejections")
        }
    }
}
