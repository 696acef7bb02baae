package org.ragwortbank.node.loop

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PauseAwareClockTest {
    private var monotonicMillis = 1_000L
    private var timeOfDayMillis = 1_000_000L
    private val clock = PauseAwareClock({ monotonicMillis * 1_000_000 }, { timeOfDayMillis })

    @Test
    fun `given a suspension that the monotonic clock doesn't count, then its duration is included`() {
        val before = clock.now()
        monotonicMillis += 10
        timeOfDayMillis += 6_010
        assertEquals(6_010.milliseconds, clock.now() - before)
    }

    @Test
    fun `given a time of day that is set back, then time follows the monotonic clock`() {
        val before = clock.now()
        monotonicMillis += 500
        timeOfDayMillis -= 2_000
        assertEquals(500.milliseconds, clock.now() - before)
    }

    @Test
    fun `given small corrections of the time of day, then they are ignored`() {
        val before = clock.now()
        repeat(100) {
            monotonicMillis += 100
            timeOfDayMillis += 105
            clock.now()
        }
        assertTrue(clock.now() - before == 10.seconds)
    }
}
