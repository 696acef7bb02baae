package org.ragwortbank.core.speed

import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class GenerationSpeedTest {
    private val start = Timestamp(0) + 10.seconds

    @Test
    fun `given runs in two reports, then the time for a token of a run is learned`() {
        val speed = GenerationSpeed()
            .after(persistentMapOf("a" to 100L, "b" to 500L), start)
            .after(persistentMapOf("a" to 200L, "b" to 600L, "c" to 900L), start + 500.milliseconds)
        assertEquals(5.0, speed.millisPerToken(start + 1.seconds))
    }

    @Test
    fun `given a slow moment after a quick one, then the quick one counts`() {
        val speed = GenerationSpeed()
            .after(persistentMapOf("a" to 0L), start)
            .after(persistentMapOf("a" to 100L), start + 500.milliseconds)
            .after(persistentMapOf("a" to 140L), start + 1_000.milliseconds)
        assertEquals(5.0, speed.millisPerToken(start + 1.seconds))
    }

    @Test
    fun `given an engine that stays slower, then its speed is forgotten with the eighth sample`() {
        val quick = GenerationSpeed()
            .after(persistentMapOf("a" to 0L), start)
            .after(persistentMapOf("a" to 100L), start + 500.milliseconds)
        val slow = (1..8).fold(quick) { speed, index ->
            speed.after(persistentMapOf("a" to 100L + 25 * index), start + 500.milliseconds * (index + 1))
        }
        assertEquals(20.0, slow.millisPerToken(start + 5.seconds))
    }

    @Test
    fun `given reports in quick succession, a preempted run or no runs, then nothing is learned`() {
        val first = GenerationSpeed().after(persistentMapOf("a" to 100L), start)
        assertEquals(first, first.after(persistentMapOf("a" to 101L), start + 30.milliseconds))
        val preempted = first.after(persistentMapOf("a" to 7L), start + 500.milliseconds)
        assertEquals(null, preempted.millisPerToken(start + 500.milliseconds))
        val idle = first.after(persistentMapOf(), start + 500.milliseconds)
        assertEquals(null, idle.millisPerToken(start + 500.milliseconds))
    }

    @Test
    fun `given an engine without runs for long, then its speed is unknown`() {
        val speed = GenerationSpeed()
            .after(persistentMapOf("a" to 0L), start)
            .after(persistentMapOf("a" to 100L), start + 500.milliseconds)
        assertEquals(null, speed.millisPerToken(start + 21.seconds))
    }
}
