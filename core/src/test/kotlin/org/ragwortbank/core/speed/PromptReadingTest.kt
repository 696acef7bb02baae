package org.ragwortbank.core.speed

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.milliseconds

class PromptReadingTest {
    @Test
    fun `given answers that begin later for longer prompts, then the slope is the time for a token`() {
        val reading = (1L..40L).fold(PromptReading()) { line, index ->
            line.after(index * 100, (20 + index * 4).milliseconds)
        }
        assertEquals(0.04, assertNotNull(reading.millisPerToken), 0.001)
    }

    @Test
    fun `given few answers, prompts of one length, or quicker answers to longer prompts, then it is unknown`() {
        val few = (1L..5L).fold(PromptReading()) { line, index -> line.after(index * 100, index.milliseconds) }
        val alike = (1L..40L).fold(PromptReading()) { line, index -> line.after(100, index.milliseconds) }
        val falling = (1L..40L).fold(PromptReading()) { line, index ->
            line.after(index * 100, (50 - index).milliseconds)
        }
        assertEquals(listOf(null, null, null), listOf(few, alike, falling).map { it.millisPerToken })
    }

    @Test
    fun `given lines of several upstreams, then their sum has the samples of all`() {
        val short = (1..15).fold(PromptReading()) { line, _ -> line.after(100, 10.milliseconds) }
        val long = (1..15).fold(PromptReading()) { line, _ -> line.after(1_100, 50.milliseconds) }
        assertEquals(0.04, assertNotNull((short + long).millisPerToken), 0.000_001)
    }
}
