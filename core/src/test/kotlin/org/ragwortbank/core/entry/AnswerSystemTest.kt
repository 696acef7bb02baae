package org.ragwortbank.core.entry

import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.encodeToByteString
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.Usage
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class AnswerSystemTest {
    private val entry = EntryFixture()
    private val head = ResponseHead(200, persistentListOf(), isStreamed = true)
    private val chunkData = "x".encodeToByteString()

    private fun dispatch(route: String = "advice"): RunId {
        entry.receiveCall(entry.call(route))
        return entry.dispatches().single().run
    }

    @Test
    fun `given all chunks, then the answer completes and unused reserved tokens are returned`() {
        val run = dispatch()
        val upstream = entry.dispatchTarget()
        entry.receiveReport(upstream, SidecarReport.Started(run, head))
        entry.receiveReport(upstream, SidecarReport.Chunk(run, 0, 1, chunkData))
        entry.receiveReport(upstream, SidecarReport.Completed(run, 1, Usage(1, 4)))
        assertTrue(EntryEffect.CompleteAnswer(run.request) in entry.effects)
        assertEquals(listOf(6L), entry.settledTokens())
    }

    @Test
    fun `given a missing chunk, then the request ends with ANSWER_BROKEN`() {
        val run = dispatch()
        val upstream = entry.dispatchTarget()
        entry.receiveReport(upstream, SidecarReport.Started(run, head))
        entry.receiveReport(upstream, SidecarReport.Chunk(run, 1, 1, chunkData))
        assertEquals(ResultCode.ANSWER_BROKEN, entry.refusals().single().code)
    }

    @Test
    fun `given a report of another upstream or attempt, then it is ignored`() {
        val run = dispatch()
        val other = EntryFixture.UPSTREAMS.map(::InstanceName).first { it != entry.dispatchTarget() }
        entry.receiveReport(other, SidecarReport.Started(run, head))
        assertTrue(entry.effects.none { it is EntryEffect.BeginAnswer })
        entry.receiveReport(entry.tables.upstreams.keys.first(), SidecarReport.Started(run.copy(attempt = 2), head))
        assertTrue(entry.effects.none { it is EntryEffect.BeginAnswer })
    }

    @Test
    fun `given a closed link and an idempotent request, then it is retried on another upstream`() {
        dispatch()
        val first = entry.dispatchTarget()
        entry.tick(EntryInput.LinkClosed(first))
        assertEquals(2, entry.dispatches().single().run.attempt)
        assertTrue(entry.dispatchTarget() != first)
    }

    @Test
    fun `given a closed link and a non-idempotent request, then its outcome is unknown and it is not retried`() {
        dispatch("booking")
        entry.tick(EntryInput.LinkClosed(InstanceName("booking-1")))
        assertEquals(Execution.UNKNOWN, entry.refusals().single().execution)
        assertTrue(entry.dispatches().isEmpty())
    }

    @Test
    fun `given a non-idempotent request that a sidecar did not run, then another upstream may be tried`() {
        val run = dispatch("booking")
        val refusal = Refusal.notRun(ResultCode.QUEUE_FULL)
        entry.receiveReport(InstanceName("booking-1"), SidecarReport.Failed(run, refusal))
        assertEquals(ResultCode.NO_UPSTREAM, entry.refusals().single().code)
        assertEquals(Execution.NOT_RUN, entry.refusals().single().execution)
    }

    @Test
    fun `given a caller that disconnects, then the run is cancelled and unused tokens are returned`() {
        val run = dispatch()
        entry.tick(EntryInput.CallerDisconnected(run.request))
        assertEquals(listOf(10L), entry.settledTokens())
        assertTrue(entry.effects.any { it is EntryEffect.SendToSidecar })
    }
}
