package org.ragwortbank.core.pacing

import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** All gateways have requests waiting for one cold upstream. */
class ColdFleetTest {
    private val goal = 0.7 * ColdFleet.PER_SECOND

    private fun assertBound(fleet: ColdFleet) =
        assertTrue(fleet.mostInASecond() <= ColdFleet.BOUND, "${fleet.mostInASecond()} requests in a second")

    private fun assertUsed(fleet: ColdFleet, from: Duration, until: Duration) =
        assertTrue(fleet.rate(from, until) >= goal, "${fleet.rate(from, until)} requests a second")

    @Test
    fun `given 1 to 350 gateways, then the bound holds and most of it is used`() {
        listOf(1, 4, 10, 12, 21, 29, 30, 33, 300, 350).forEach { gateways ->
            val fleet = ColdFleet(gateways).run(10.seconds)
            assertBound(fleet)
            assertUsed(fleet, 5.seconds, 10.seconds)
        }
    }

    @Test
    fun `given some gateways cut off, then they don't spend what the others are given`() {
        listOf(0..7, 0..13, 0..21, 3..3).forEach { cut ->
            val fleet = ColdFleet(29, listOf(ColdFault(cut, ColdFault.Kind.CUT, 3.seconds, 15.seconds))).run(20.seconds)
            assertBound(fleet)
            assertUsed(fleet, 10.seconds, 15.seconds)
        }
    }

    @Test
    fun `given all gateways restarted at once, then the bound holds whether leases have ended or not`() {
        listOf(500.milliseconds, 3.seconds, 9.seconds).forEach { outage ->
            val early = ColdFault(0..14, ColdFault.Kind.DEAD, 2.seconds, 2.seconds + outage)
            val late = ColdFault(15..28, ColdFault.Kind.DEAD, 2.seconds, 3.seconds + outage)
            val fleet = ColdFleet(29, listOf(early, late)).run(10.seconds + outage)
            val back = 3.seconds + outage
            assertBound(fleet)
            assertUsed(fleet, back + 5.seconds, back + 7.seconds)
        }
    }

    @Test
    fun `given frozen gateways that wake, then they send nothing that they have saved up`() {
        val frozen = ColdFault(0..20, ColdFault.Kind.FROZEN, 3.seconds, 12.seconds)
        val fleet = ColdFleet(29, listOf(frozen)).run(16.seconds)
        assertBound(fleet)
    }

    @Test
    fun `given dead gateways, then the others use their share once their leases have ended`() {
        val fleet = ColdFleet(29, listOf(ColdFault(0..13, ColdFault.Kind.DEAD, 3.seconds, 60.seconds))).run(16.seconds)
        assertBound(fleet)
        assertUsed(fleet, 11.seconds, 16.seconds)
    }
}
