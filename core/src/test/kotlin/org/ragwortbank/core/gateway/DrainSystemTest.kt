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
