package org.ragwortbank.core.gateway

import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.StoreChange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AttemptSystemTest {
    private val gateway = GatewayFixture()

    @Test
    fun `given a failed attempt of non-repeatable work, then it is not sent again and its outcome is unknown`() {
        val number = gateway.receiveCall("/book/x")
        gateway.tick(GatewayInput.AttemptFailed(number, 1, AttemptFailure.ConnectionLost("reset")))
        assertTrue(gateway.sentAttempts().isEmpty())
        assertEquals(Execution.UNKNOWN, gateway.refusals().single().execution)
        assertEquals(ResultCode.OUTCOME_UNKNOWN, gateway.refusals().single().code)
    }

    @Test
    fun `given a failed attempt of idempotent work, then it is retried at another upstream`() {
        val number = gateway.receiveCall("/look/x")
        val first = gateway.sentAttempts().single().upstream
        gateway.tick(GatewayInput.AttemptFailed(number, 1, AttemptFailure.ConnectionLost("reset")))
        assertNotEquals(first, gateway.sentAttempts().single().upstream)
    }

    @Test
    fun `given server errors from both upstreams, then the last answer is relayed and nothing is sent a third time`() {
        val number = gateway.receiveCall("/look/x")
        gateway.tick(answerHead(number, 1, 500))
        assertEquals(1, gateway.sentAttempts().size)
        gateway.tick(answerHead(number, 2, 500))
        assertTrue(gateway.sentAttempts().isEmpty())
        assertTrue(gateway.effects.any { it is GatewayEffect.Relay })
    }

    @Test
    fun `given a rejection before execution, then non-repeatable work is sent again, to the same upstream only`() {
        val number = gateway.receiveCall("/book/x")
        val first = gateway.sentAttempts().single().upstream
        gateway.tick(answerHead(number, 1, 503, notRun = true))
        gateway.advance(150.milliseconds)
        assertEquals(first, gateway.sentAttempts().single().upstream)
    }

    @Test
    fun `given a connection that failed before anything was sent, then the request goes to another upstream`() {
        val number = gateway.receiveCall("/book/x")
        val first = gateway.sentAttempts().single().upstream
        gateway.tick(GatewayInput.AttemptNotSent(number, 1, "refused"))
        assertNotEquals(first, gateway.sentAttempts().single().upstream)
    }

    @Test
    fun `given no upstream left after rejections, then the refusal states that nothing ran`() {
        val number = gateway.receiveCall("/book/x")
        val first = gateway.sentAttempts().single().upstream
        gateway.tick(answerHead(number, 1, 503, notRun = true))
        gateway.applyChanges(StoreChange.UpstreamRemoved(first))
        assertEquals(Execution.NOT_RUN, gateway.refusals().single().execution)
    }

    @Test
    fun `given an answer that is cut off midway, then the answer to the caller is aborted too`() {
        val number = gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        gateway.tick(answerHead(number, 1, 200))
        gateway.tick(GatewayInput.AttemptFailed(number, 1, AttemptFailure.ConnectionLost("reset")))
        assertTrue(gateway.effects.any { it is GatewayEffect.AbortAnswer })
    }

    @Test
    fun `given a disconnected caller, then its stream is canceled and non-repeatable work runs on`() {
        val stream = gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        gateway.tick(GatewayInput.CallerDisconnected(stream))
        assertTrue(gateway.effects.any { it is GatewayEffect.CancelAttempt })
        val booking = gateway.receiveCall("/book/x")
        gateway.tick(GatewayInput.CallerDisconnected(booking))
        assertTrue(gateway.effects.none { it is GatewayEffect.CancelAttempt })
    }

    @Test
    fun `given no answer within the route's timeout, then the request fails with an unknown outcome`() {
        gateway.receiveCall("/book/x")
        gateway.advance(5_150.milliseconds)
        assertEquals(ResultCode.DEADLINE_EXCEEDED, gateway.refusals().single().code)
        assertEquals(Execution.UNKNOWN, gateway.refusals().single().execution)
    }

    @Test
    fun `given rejections of every request, then resends stay within the retry budget`() {
        val resent = (1..100).sumOf { resendsAfterRejection() }
        assertTrue(resent <= 40 + 16, "expected at most 56 resends, found $resent")
    }

    private fun resendsAfterRejection(): Int {
        gateway.advance(200.milliseconds)
        gateway.confirmConfiguration()
        val number = gateway.receiveCall("/book/x")
        val first = gateway.sentAttempts().singleOrNull()
        gateway.tick(answerHead(number, 1, 503, notRun = true))
        gateway.advance(150.milliseconds)
        val resends = gateway.sentAttempts().size
        gateway.advance(1.seconds, GatewayInput.AnswerCompleted(number, 2), GatewayInput.CallerDisconnected(number))
        return if (first == null) 0 else resends
    }

    private fun answerHead(number: RequestNumber, attempt: Int, status: Int, notRun: Boolean = false) =
        GatewayInput.AnswerHeadReceived(number, attempt, AnswerFacts(status, notRun, load = null))

    @Test
    fun `given an upstream that answers just after the deadline, then its answer is relayed`() {
        val number = gateway.receiveCall("/book/x")
        gateway.advance(5.seconds + 50.milliseconds)
        assertTrue(gateway.refusals().isEmpty())
        gateway.tick(GatewayInput.AnswerHeadReceived(number, 1, AnswerFacts(status = 504, notRun = false, load = null)))
        assertTrue(gateway.effects.any { it == GatewayEffect.Relay(number, 1) })
        assertTrue(gateway.refusals().isEmpty())
    }

    // Guards against a failure passed on as a success whose log lines don't tell from which answer it came.
    @Test
    fun `given an attempt that is lost, then the log tells its connection and the answers that were skipped there`() {
        val number = gateway.receiveCall("/look/x")
        val trace = trace.withSkipped(AnswerSummary(200, "other"))
        gateway.tick(GatewayInput.AttemptFailed(number, 1, AttemptFailure.ConnectionLost("reset"), trace))
        val facts = "attempt 1, connection 5 after 2 exchanges, skipped 1 (200 of other), no answer read"
        assertLogged("lost at", "$facts, connection lost")
    }

    @Test
    fun `given an invalid answer, then the log tells what was read`() {
        val number = gateway.receiveCall("/look/x")
        val read = trace.copy(read = AnswerSummary(200, null))
        gateway.tick(GatewayInput.AttemptFailed(number, 1, AttemptFailure.InvalidAnswer("no id"), read))
        assertLogged("lost at", "connection 5 after 2 exchanges, read 200 without an id, invalid answer")
    }

    @Test
    fun `given a failure that is tried elsewhere, then the log tells the status that was read`() {
        val number = gateway.receiveCall("/look/x")
        gateway.tick(answerHead(number, 1, 500).copy(trace = trace.copy(read = AnswerSummary(500, "r1"))))
        val facts = "attempt 1, connection 5 after 2 exchanges, read 500 of r1"
        assertLogged("failed at", "$facts, tried elsewhere")
    }

    @Test
    fun `given a rejection, then the log tells the status that was read`() {
        val number = gateway.receiveCall("/book/x")
        val input = answerHead(number, 1, 503, notRun = true).copy(trace = trace.copy(read = AnswerSummary(503, "r1")))
        gateway.tick(input)
        assertLogged("rejected by", "attempt 1, connection 5 after 2 exchanges, read 503 of r1")
    }

    @Test
    fun `given an answer that is passed on, then the log tells the status that was read and the one passed on`() {
        val number = gateway.receiveCall("/look/x")
        val read = trace.copy(read = AnswerSummary(200, "r1"))
        gateway.tick(answerHead(number, 1, 200).copy(trace = read))
        assertLogged("answered by", "attempt 1, connection 5 after 2 exchanges, read 200 of r1")
        gateway.tick(GatewayInput.AnswerCompleted(number, 1, read.copy(passedOn = 200)))
        assertLogged("passed on from", "attempt 1, connection 5 after 2 exchanges, read 200 of r1, passed on 200")
    }

    @Test
    fun `given attempts that end unanswered, then each cancellation states its cause`() {
        val stream = gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        gateway.tick(GatewayInput.CallerDisconnected(stream))
        assertEquals(listOf(CancelCause.CALLER_DISCONNECTED), cancelCauses())
        gateway.receiveCall("/book/x")
        gateway.advance(5_150.milliseconds)
        assertEquals(listOf(CancelCause.DEADLINE), cancelCauses())
    }

    private val trace = ExchangeTrace(ConnectionUse(number = 5, carriedBefore = 2))

    private fun cancelCauses() = gateway.effects.filterIsInstance<GatewayEffect.CancelAttempt>().map { it.cause }

    private fun assertLogged(beginning: String, end: String) {
        val messages = gateway.effects.filterIsInstance<GatewayEffect.Log>().map { it.line.message }
        val message = messages.single { it.substringAfter(' ').substringAfter(' ').startsWith(beginning) }
        assertEquals(end, message.takeLast(end.length))
    }
}
