package org.ragwortbank.core.entry

import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ClaimSystemTest {
    private val entry = EntryFixture()
    private val call = entry.call("booking", idempotencyKey = "k")

    @Test
    fun `given a non-idempotent request, then it is not dispatched before its key is recorded`() {
        entry.receiveCall(call)
        assertTrue(entry.dispatches().isEmpty())
        entry.tick(EntryInput.ClaimDecided(call.id, ClaimResult.GRANTED))
        assertEquals(call.id, entry.dispatches().single().run.request)
    }

    @Test
    fun `given a key that another request holds, then nothing runs and the refusal says that it may have run`() {
        entry.receiveCall(call)
        entry.tick(EntryInput.ClaimDecided(call.id, ClaimResult.TAKEN))
        assertEquals(ResultCode.ALREADY_RAN, entry.refusals().single().code)
        assertEquals(Execution.UNKNOWN, entry.refusals().single().execution)
        assertTrue(entry.dispatches().isEmpty())
    }

    @Test
    fun `given a recorded key and a request that did not run, then the key is released for a retry`() {
        entry.receiveCall(call)
        entry.tick(EntryInput.ClaimDecided(call.id, ClaimResult.GRANTED))
        val run = entry.dispatches().single().run
        entry.receiveReport(InstanceName("booking-1"), SidecarReport.Failed(run, Refusal.notRun(ResultCode.DRAINING)))
        assertTrue(entry.effects.any { it is EntryEffect.ReleaseClaim })
    }

    @Test
    fun `given no answer from the key-value service, then nothing runs and the key is released`() {
        entry.receiveCall(call)
        entry.advance(3.seconds)
        assertEquals(ResultCode.CLAIM_UNAVAILABLE, entry.refusals().single().code)
        assertTrue(entry.effects.any { it is EntryEffect.ReleaseClaim })
    }

    @Test
    fun `given a late claim result for a refused request, then nothing runs`() {
        entry.receiveCall(call)
        entry.advance(3.seconds)
        entry.advance(10.milliseconds, EntryInput.ClaimDecided(call.id, ClaimResult.GRANTED))
        assertTrue(entry.dispatches().isEmpty())
    }
}
