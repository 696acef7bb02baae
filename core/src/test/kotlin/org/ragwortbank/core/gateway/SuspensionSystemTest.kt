package org.ragwortbank.core.gateway

import org.ragwortbank.core.serving.RequestNumber
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SuspensionSystemTest {
    private val gateway = GatewayFixture()

    @Test
    fun `given a request read after a suspension whose caller has disconnected, then it is not sent`() {
        val number = RequestNumber(99)
        gateway.suspendFor(2.seconds, GatewayInput.CallArrived(number, gateway.call("/book/x")))
        assertTrue(gateway.sentAttempts().isEmpty())
        gateway.advance(5.milliseconds, GatewayInput.CallerDisconnected(number))
        assertEquals(listOf(number), gateway.effects.filterIsInstance<GatewayEffect.RemoveRequest>().map { it.number })
        gateway.advance(100.milliseconds)
        assertTrue(gateway.sentAttempts().isEmpty())
    }

    @Test
    fun `given a request read after a suspension whose caller waits, then it is sent after the catch-up time`() {
        gateway.suspendFor(2.seconds, GatewayInput.CallArrived(RequestNumber(99), gateway.call("/book/x")))
        gateway.advance(100.milliseconds)
        assertEquals(1, gateway.sentAttempts().size)
    }

    @Test
    fun `given a request that waits during a suspension, then it is sent only after the catch-up time`() {
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a9"))
        val digests = gateway.effects.filterIsInstance<GatewayEffect.SendDemandDigest>().map { it.digest }
        gateway.suspendFor(1.seconds)
        gateway.receiveEngineDigest(digests.last { it.loadRequests.isNotEmpty() }.upstream, resident = mapOf("a9" to 1))
        assertTrue(gateway.sentAttempts().isEmpty())
        gateway.advance(100.milliseconds)
        assertEquals(1, gateway.sentAttempts().size)
    }
}
