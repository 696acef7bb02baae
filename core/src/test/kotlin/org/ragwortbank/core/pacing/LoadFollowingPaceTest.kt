package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.ReportedLoad
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LoadFollowingPaceTest {
    private val rule = LoadFollowingPace()
    private val start = Timestamp(0) + 100.seconds
    private val norm = (1..20).fold(DelayNorm()) { norm, _ ->
        norm.afterAnswer(100.milliseconds, promptTokens = 100).afterAnswer(900.milliseconds, promptTokens = 6_000)
    }
    private val conditions = PaceConditions(slots = 48, gateways = 4, inFlight = 12, norm = norm)
    private val full = PaceRow(PacePhase.FULL, limit = 1.0, offset = 0.0, changedAt = start)

    private fun answers(row: PaceRow, count: Int, delay: Duration, promptTokens: Long, given: PaceConditions): PaceRow =
        (1..count).fold(row) { current, number ->
            val now = start + (number * 10).milliseconds
            rule.afterSample(current, PaceSample.Began(now - delay, delay, promptTokens), given, now)
        }

    @Test
    fun `given late answers to short prompts at full pace, then the third brings the limit back`() {
        assertEquals(PacePhase.FULL, answers(full, 2, 400.milliseconds, 100, conditions).phase)
        val limited = answers(full, 3, 400.milliseconds, 100, conditions)
        assertEquals(PacePhase.PROBING to 6.0, limited.phase to limited.limit)
    }

    @Test
    fun `given answers that begin later because their prompts are long, then there is no limit`() {
        assertEquals(PacePhase.FULL, answers(full, 20, 900.milliseconds, 6_000, conditions).phase)
    }

    @Test
    fun `given a late tick, then delays are no evidence`() {
        val late = conditions.copy(isTickLate = true)
        assertEquals(PacePhase.FULL, answers(full, 20, 400.milliseconds, 100, late).phase)
    }

    @Test
    fun `given an upstream that reports that nothing waits there, then slow answers are no evidence`() {
        val reporting = conditions.copy(load = ReportedLoad(20, 0))
        assertEquals(PacePhase.FULL, answers(full, 20, 400.milliseconds, 100, reporting).phase)
    }

    @Test
    fun `given evidence of requests that were sent before a change, then it counts once`() {
        val sentAt = start - 1.seconds
        val once = rule.afterSample(full, PaceSample.Overloaded(sentAt), conditions, start)
        val twice = rule.afterSample(once, PaceSample.Overloaded(sentAt), conditions, start + 10.milliseconds)
        assertEquals(PacePhase.PROBING to 6.0, once.phase to once.limit)
        assertEquals(once.limit, twice.limit)
    }

    @Test
    fun `given a second failure in a row, then the pace begins anew`() {
        val failing = conditions.copy(failures = 2)
        val row = rule.afterSample(full, PaceSample.Failed(start), failing, start + 10.milliseconds)
        assertEquals(PacePhase.RAMPING to 0.75, row.phase to row.limit)
    }

    @Test
    fun `given evidence against more round after round, then a gateway still gets its turn`() {
        val lowered = (1..50).fold(full) { row, number ->
            rule.afterSample(row, PaceSample.Overloaded(null), conditions, start + number.seconds)
        }
        val idle = conditions.copy(inFlight = 0)
        val later = (51..70).fold(lowered) { row, number -> rule.whileIdle(row, idle, start + number.seconds) }
        assertTrue(later.allowed >= 1, "$later")
    }
}
