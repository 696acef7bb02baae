package org.ragwortbank.node.loop

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PauseAwareClockTest {
    private var steadyMillis = 1_000L
    private var wallMillis = 1_000_000L
    private val clock = PauseAwareClock({ steadyMillis * 1_000_000 }, { wallMillis })

    @Test
    fun `given a suspension that the monotonic clock doesn't count, then its time has passed all the same`() {
        val before = clock.now()
        steadyMillis += 10
        wallMillis += 6_010
        assertEquals(6_010.milliseconds, clock.now() - before)
    }

    @Test
    fun `given a time of day that is set back, then time goes on as the monotonic clock says`() {
        val before = clock.now()
        steadyMillis += 500
        wallMillis -= 2_000
        assertEquals(500.milliseconds, clock.now() - before)
    }

    @Test
    fun `given small corrections of the time of day, then they add up to nothing`() {
        val before = clock.now()
        repeat(100) {
            steadyMillis += 100
            wallMillis += 105
            clock.now()
        }
        assertTrue(clock.now() - before == 10.seconds)
    }
}
