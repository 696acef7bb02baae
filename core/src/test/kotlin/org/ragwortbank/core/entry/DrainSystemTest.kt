package org.ragwortbank.core.entry

import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class DrainSystemTest {
    private val entry = EntryFixture()

    // Guards against requests that are cut off without an answer at the end of a planned stop.
    @Test
    fun `given a dispatched request at the drain timeout, then its outcome is unknown before the process stops`() {
        entry.receiveCall(entry.call())
        assertEquals(1, entry.dispatches().size)
        entry.tick(EntryInput.StopRequested(requestedAgo = entry.tables.settings.drainTimeout))
        entry.advance(100.milliseconds)
        val refusal = entry.refusals().single()
        assertEquals(ResultCode.OUTCOME_UNKNOWN to Execution.UNKNOWN, refusal.code to refusal.execution)
        assertTrue(EntryEffect.Stopped in entry.effects)
    }
}
