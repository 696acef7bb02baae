package org.ragwortbank.node.loop

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.tick.Schedule
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class GuardedScheduleTest {
    private var failures = 0
    private val observer = object : TickObserver {
        override fun onTick(inputs: Int, nanos: Long) = Unit

        override fun onTickFailed() {
            failures++
        }
    }

    /** The table is the list of inputs so far; each input is also an effect. */
    private val record = TickSystem<List<Int>, Int, Int> { tick, step ->
        tick.inputs.forEach { check(it >= 0) { "negative input" } }
        step.update { it + tick.inputs }.emitAll(tick.inputs)
    }
    private val schedule = GuardedSchedule(Schedule(persistentListOf(record)), observer)

    private fun run(vararg inputs: Int) =
        schedule.run(Tick(Timestamp(0), inputs.toList().toPersistentList()), listOf(7))

    @Test
    fun `given an input that makes a system throw, then the other inputs of the tick still take effect once`() {
        val step = run(1, -2, 3)
        assertEquals(listOf(7, 1, 3), step.tables)
        assertEquals(listOf(1, 3), step.effects)
        assertTrue(failures > 0)
    }

    @Test
    fun `given only an input that makes a system throw, then the tables stay as they were`() {
        assertEquals(listOf(7), run(-1).tables)
    }

    @Test
    fun `given inputs without a fault, then no failure is counted`() {
        assertEquals(listOf(7, 1, 2), run(1, 2).tables)
        assertEquals(0, failures)
    }

    @Test
    fun `given an effect that fails, then the others are performed and the failure is counted`() {
        var performed = emptyList<Int>()
        performAll(listOf(1, 2, 3), observer) {
            check(it != 2)
            performed = performed + it
        }
        assertEquals(listOf(1, 3), performed)
        assertEquals(1, failures)
    }
}
