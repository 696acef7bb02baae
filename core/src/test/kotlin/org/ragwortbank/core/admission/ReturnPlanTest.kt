package org.ragwortbank.core.admission

import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReturnPlanTest {
    private val now = Timestamp(0) + 100.seconds

    @Test
    fun `given many refused at once, then they return at the pace at which the tokens are refilled`() {
        val plans = (1..40).runningFold(ReturnPlan()) { plan, _ -> plan.add(100, 1_000.0, 8.seconds, now) }.drop(1)
        val returns = plans.mapNotNull { it.plannedUntil }
        assertEquals(100.milliseconds, returns.first() - now)
        assertTrue(returns.zipWithNext().all { (earlier, later) -> later - earlier == 100.milliseconds })
    }

    @Test
    fun `given a backlog beyond the horizon, then nobody is told to return later than that`() {
        val plan = (1..200).fold(ReturnPlan()) { current, _ -> current.add(100, 1_000.0, 8.seconds, now) }
        assertEquals(now + 8.seconds, plan.plannedUntil)
    }

    @Test
    fun `given a backlog that has drained, then the next one refused returns after its own tokens`() {
        val plan = ReturnPlan().add(500, 1_000.0, 8.seconds, now)
        val later = now + 2.seconds
        assertEquals(later + 100.milliseconds, plan.add(100, 1_000.0, 8.seconds, later).plannedUntil)
    }
}
