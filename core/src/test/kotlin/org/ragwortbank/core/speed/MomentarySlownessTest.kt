package org.ragwortbank.core.speed

import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class MomentarySlownessTest {
    private val now = Timestamp(0) + 10.seconds
    private val slow = MomentarySlowness(2.5, now)

    @Test
    fun `given a slow moment, then short work loses its own part and long work what the moment still takes`() {
        assertEquals(30.0, slow.lossMillis(20.0, now))
        assertEquals(300.0, slow.lossMillis(2_000.0, now), 0.001)
    }

    @Test
    fun `given a statement that grows old, then it counts less and at last not at all`() {
        assertEquals(0.75, slow.excessAt(now + 250.milliseconds), 0.001)
        assertEquals(0.0, slow.excessAt(now + 500.milliseconds))
        assertEquals(0.0, slow.lossMillis(2_000.0, now + 600.milliseconds))
    }

    @Test
    fun `given a usual or quick moment, then nothing is lost`() {
        assertEquals(0.0, MomentarySlowness(1.0, now).lossMillis(2_000.0, now))
        assertEquals(0.0, MomentarySlowness(0.8, now).lossMillis(2_000.0, now))
    }
}
