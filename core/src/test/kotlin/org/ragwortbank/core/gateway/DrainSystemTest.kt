package org.ragwortbank.core.gateway

import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DrainSystemTest {
    private val gateway = GatewayFixture()

    private fun hasStopped(fixture: GatewayFixture = gateway) = GatewayEffect.Stopped in fixture.effects

    @Test
    fun `given a stop without requests, then the process admits requests for the drain grace and stops after it`() {
        gateway.tick(GatewayInput.StopRequested())
        gateway.advance(2_400.milliseconds)
        assertFalse(hasStopped())
        gateway.receiveCall("/book/x")
        assertEquals(1, gateway.sentAttempts().size)
    }

    @Test
    fun `given a stop that was requested while the process started, then the time since then counts`() {
        gateway.tick(GatewayInput.StopRequested(requestedAgo = 1_500.milliseconds))
        gateway.advance(1_100.milliseconds)
        assertTrue(hasStopped())
    }

    // Guards against requests that are cut off without an answer at the end of a planned stop.
    @Test
    fun `given a request that still waits late in the drain, then it is refused as not run while that is true`() {
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a9"))
        gateway.tick(GatewayInput.StopRequested(requestedAgo = gateway.tables.settings.lastSendAfterStop))
        gateway.advance(100.milliseconds)
        val refusal = gateway.refusals().single()
        assertEquals(ResultCode.DRAINING to Execution.NOT_RUN, refusal.code to refusal.execution)
        assertTrue(gateway.tables.requests.isEmpty())
    }

    @Test
    fun `given requests under way at the drain timeout, then each gets a final answer before the process stops`() {
        val begun = gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        val sent = gateway.receiveCall("/book/x")
        gateway.tick(GatewayInput.AnswerHeadReceived(begun, 1, AnswerFacts(status = 200, notRun = false, load = null)))
        gateway.tick(GatewayInput.StopRequested(requestedAgo = gateway.tables.settings.drainTimeout))
        gateway.advance(100.milliseconds)
        val outcomes = gateway.refusals().map { it.code to it.execution }
        val expected = setOf(
            ResultCode.ANSWER_BROKEN to Execution.RAN,
            ResultCode.OUTCOME_UNKNOWN to Execution.UNKNOWN,
        )
        assertEquals(expected, outcomes.toSet())
        assertTrue(gateway.effects.contains(GatewayEffect.CancelAttempt(sent, 1, CancelCause.STOP)))
        assertTrue(hasStopped())
        assertTrue(gateway.tables.requests.isEmpty())
    }

    @Test
    fun `given a short time for a stop, then requests are admitted only while they can be answered in it`() {
        val short = gateway.tables.settings.copy(drainTimeout = 4.seconds)
        gateway.tick(GatewayInput.SettingsReloaded(short), GatewayInput.StopRequested())
        gateway.advance(1_100.milliseconds)
        gateway.receiveCall("/book/x")
        assertEquals(ResultCode.DRAINING, gateway.refusals().single().code)
    }

    // Guards against calls that a stopping gateway without a configuration holds back and never answers.
    @Test
    fun `given a call that waits for the first configuration, then the process stops after it is refused as not run`() {
        val unconfigured = GatewayFixture(readsStore = false)
        unconfigured.tick(GatewayInput.StopRequested())
        unconfigured.advance(2_300.milliseconds)
        unconfigured.receiveCall("/book/x")
        unconfigured.advance(900.milliseconds)
        assertFalse(hasStopped(unconfigured))
        unconfigured.advance(1.seconds)
        val refusal = unconfigured.refusals().single()
        assertEquals(ResultCode.NO_CONFIGURATION to Execution.NOT_RUN, refusal.code to refusal.execution)
        assertTrue(hasStopped(unconfigured))
    }
}
