package org.ragwortbank.core.admission

import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReturnPlanTest {
    private val now = Timestamp(0) + 100.seconds

    @Test
    fun `given many refused at once, then they return at the pace at which the tokens are refilled`() {
        val plans = (1..40).runningFold(ReturnPlan()) { plan, _ -> plan.add(100, 1_000.0, now, now + 8.seconds) }
        assertEquals((0..40).map { 100.milliseconds * it }, plans.map { it.waitAt(now) })
    }

    @Test
    fun `given a backlog beyond the horizon, then nobody is told to return later than that`() {
        val plan = (1..200).fold(ReturnPlan()) { current, _ -> current.add(100, 1_000.0, now, now + 8.seconds) }
        assertEquals(8.seconds, plan.waitAt(now))
    }

    @Test
    fun `given a backlog that has drained, then the next one refused needn't wait for it`() {
        val plan = ReturnPlan().add(500, 1_000.0, now, now + 8.seconds)
        assertEquals(Duration.ZERO, plan.waitAt(now + 2.seconds))
    }
}
