package org.ragwortbank.core.gateway

import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.StoreChange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AdmissionSystemTest {
    private val gateway = GatewayFixture()

    @Test
    fun `given a known key, then the request goes on for the key's account with the account's priority`() {
        gateway.arrive("/book/x")
        val sending = gateway.sent().single()
        assertEquals("club", sending.account?.value)
        assertEquals(1, sending.priority)
    }

    @Test
    fun `given an unknown key or none, then the request is refused and nothing is sent`() {
        gateway.arrive("/book/x", gateway.call("/book/x", key = "other"))
        assertEquals(ResultCode.KEY_UNKNOWN, gateway.refusals().single().code)
        gateway.arrive("/book/x", gateway.call("/book/x").copy(key = null))
        assertEquals(ResultCode.KEY_MISSING, gateway.refusals().single().code)
        assertTrue(gateway.sent().isEmpty())
    }

    @Test
    fun `given a public route, then no key is asked for`() {
        gateway.arrive("/open/x", gateway.call("/open/x").copy(key = null))
        assertEquals(null, gateway.sent().single().account)
    }

    @Test
    fun `given a path without a route, then it is unknown`() {
        gateway.arrive("/nowhere/x")
        assertEquals(ResultCode.ROUTE_UNKNOWN, gateway.refusals().single().code)
    }

    @Test
    fun `given a configuration that was not confirmed in time, then keys are refused and public routes served`() {
        gateway.after(4_900.milliseconds)
        gateway.arrive("/book/x")
        assertEquals(ResultCode.KEYS_UNCONFIRMED, gateway.refusals().single().code)
        assertEquals(Execution.NOT_RUN, gateway.refusals().single().execution)
        gateway.arrive("/open/x")
        assertEquals(1, gateway.sent().size)
    }

    @Test
    fun `given a confirmation after a silence, then keys are served again`() {
        gateway.after(20.seconds)
        gateway.confirm()
        gateway.arrive("/book/x")
        assertEquals(1, gateway.sent().size)
    }

    @Test
    fun `given a withdrawn key, then it is refused from the new configuration on`() {
        gateway.change(StoreChange.ConfigSet(gateway.config(version = 2, keys = emptyList())))
        gateway.arrive("/book/x")
        assertEquals(ResultCode.KEY_UNKNOWN, gateway.refusals().single().code)
    }

    @Test
    fun `given an older configuration that comes late, then the newer one stays in force`() {
        gateway.change(StoreChange.ConfigSet(gateway.config(version = 3, keys = listOf("new"))))
        gateway.change(StoreChange.ConfigSet(gateway.config(version = 2)))
        assertEquals(3, gateway.tables.config?.version)
    }

    @Test
    fun `given an account beyond its burst, then it is refused and told when to come back`() {
        gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a1", tokens = 900))
        gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a1", tokens = 900))
        val refusal = gateway.refusals().single()
        assertEquals(ResultCode.RATE_EXCEEDED, refusal.code)
        assertEquals(800.milliseconds, refusal.retryAfter)
    }

    @Test
    fun `given a process that starts again, then its buckets begin with a part of the burst only`() {
        val again = GatewayFixture(isFirstStart = false)
        again.arrive("/chat/x", again.call("/chat/x", adapter = "a1", tokens = 260))
        assertEquals(ResultCode.RATE_EXCEEDED, again.refusals().single().code)
        again.after(500.milliseconds)
        again.arrive("/chat/x", again.call("/chat/x", adapter = "a1", tokens = 260))
        assertEquals(1, again.sent().size)
    }

    @Test
    fun `given a call before the first configuration, then it waits a moment and is served once that is read`() {
        val early = GatewayFixture(reads = false)
        early.arrive("/book/x")
        assertTrue(early.refusals().isEmpty())
        early.after(400.milliseconds, GatewayInput.StoreRead(early.everything(), early.now))
        assertEquals(1, early.sent().size)
    }

    @Test
    fun `given no configuration for a while, then a waiting call is refused and has not run`() {
        val early = GatewayFixture(reads = false)
        early.arrive("/book/x")
        early.after(1_100.milliseconds)
        assertEquals(ResultCode.NO_CONFIGURATION, early.refusals().single().code)
        assertEquals(Execution.NOT_RUN, early.refusals().single().execution)
    }

    @Test
    fun `given settings that are read again, then their bounds hold at once`() {
        gateway.after(2.seconds)
        val shorter = gateway.tables.settings.copy(configurationLease = 1.seconds)
        gateway.tick(GatewayInput.SettingsReloaded(shorter))
        gateway.arrive("/book/x")
        assertEquals(ResultCode.KEYS_UNCONFIRMED, gateway.refusals().single().code)
    }
}
