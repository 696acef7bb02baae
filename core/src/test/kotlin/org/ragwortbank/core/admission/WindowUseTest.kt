package org.ragwortbank.core.admission

import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class WindowUseTest {
    private val start = Timestamp(0) + 100.seconds
    private val window = 8.seconds

    // Guards against tokens that drop out of a window too early when samples are far apart.
    @Test
    fun `given samples that are far apart, then what was used within the window counts in full`() {
        val use = WindowUse()
            .sample(start, window)
            .plus(100.0)
            .sample(start + 5.seconds, window)
            .sample(start + 9.seconds, window)
        assertEquals(100.0, use.within(window, start + 9.seconds))
    }

    @Test
    fun `given samples at short intervals, then no more are kept than the window needs`() {
        val use = (0..400).fold(WindowUse()) { use, step -> use.plus(1.0).sample(start + 0.25.seconds * step, window) }
        assertTrue(use.samples.size <= 34, "${use.samples.size}")
        assertEquals(32.0, use.within(window, start + 100.seconds))
    }

    @Test
    fun `given a record that is shorter than the window, then it doesn't cover it`() {
        val use = WindowUse().sample(start, window)
        assertFalse(WindowUse().covers(window, start))
        assertFalse(use.covers(window, start + 7.seconds))
        assertTrue(use.covers(window, start + 8.seconds))
    }
}
