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
    fun `given a request that is read after a pause and whose caller has left, then it is not sent`() {
        val number = RequestNumber(99)
        gateway.pause(2.seconds, GatewayInput.CallArrived(number, gateway.call("/book/x")))
        assertTrue(gateway.sent().isEmpty())
        gateway.after(5.milliseconds, GatewayInput.CallerDisconnected(number))
        assertEquals(listOf(number), gateway.effects.filterIsInstance<GatewayEffect.RemoveRequest>().map { it.number })
        gateway.after(100.milliseconds)
        assertTrue(gateway.sent().isEmpty())
    }

    @Test
    fun `given a request that is read after a pause and whose caller waits, then it is sent a moment later`() {
        gateway.pause(2.seconds, GatewayInput.CallArrived(RequestNumber(99), gateway.call("/book/x")))
        gateway.after(100.milliseconds)
        assertEquals(1, gateway.sent().size)
    }

    @Test
    fun `given a waiting request at the time of a pause, then it is sent only after news of its caller`() {
        gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a9"))
        val told = gateway.effects.filterIsInstance<GatewayEffect.SendDemandDigest>().map { it.digest }
        gateway.pause(1.seconds)
        gateway.tell(told.last { it.wishes.isNotEmpty() }.upstream, holds = mapOf("a9" to 1))
        assertTrue(gateway.sent().isEmpty())
        gateway.after(100.milliseconds)
        assertEquals(1, gateway.sent().size)
    }
}
