package org.ragwortbank.core.placer

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReportSystemTest {
    private val schedule = placerSchedule()
    private var now = Timestamp(0) + 10.seconds
    private var tables = PlacerTables("placer-1", incarnation = 1)
    private var told = 0

    @Test
    fun `given an engine that loads its base model, then it is asked often so that the end is known at once`() {
        tick(PlacerInput.ReportReceived(engine(busy = true), now))
        assertEquals(6, questionsWithin(200.milliseconds, PlacerInput.ReportReceived(engine(busy = true), now)))
    }

    @Test
    fun `given an engine at rest, then it is asked seldom`() {
        tick(PlacerInput.ReportReceived(engine(busy = false), now))
        assertEquals(2, questionsWithin(1_100.milliseconds, PlacerInput.ReportReceived(engine(busy = false), now)))
    }

    @Test
    fun `given an engine that does not answer yet, then it is asked again soon`() {
        tick()
        assertEquals(2, questionsWithin(250.milliseconds, PlacerInput.ReportFailed("no connection")))
    }

    @Test
    fun `given an engine that goes silent and comes back, then each is told once`() {
        tick(PlacerInput.ReportReceived(engine(busy = false), now))
        assertEquals(1, told)
        repeat(3) { tick(PlacerInput.ReportFailed("no connection")) }
        assertEquals(2, told)
        repeat(3) { tick(PlacerInput.ReportReceived(engine(busy = false), now)) }
        assertEquals(3, told)
    }

    /** Questions in [time], each followed by [answer]. */
    private fun questionsWithin(time: Duration, answer: PlacerInput): Int {
        val end = now + time
        var asked = 0
        tick(answer)
        while (end - now > STEP) {
            now += STEP
            if (tick()) {
                asked++
                tick(answer)
            }
        }
        return asked
    }

    private fun tick(vararg inputs: PlacerInput): Boolean {
        val step = schedule.run(Tick(now, inputs.toList().toPersistentList()), tables)
        tables = step.tables
        told += step.effects.count { it is PlacerEffect.Log && it.line.part == LogPart.PLATFORM }
        return step.effects.any { it == PlacerEffect.RequestReport }
    }

    private fun engine(busy: Boolean) = EngineReport(
        models = persistentSetOf(),
        holds = persistentMapOf(),
        coming = persistentMapOf(),
        sequence = 1,
        busy = busy,
        running = 0,
        queued = 0,
    )

    private companion object {
        val STEP = 10.milliseconds
    }
}
