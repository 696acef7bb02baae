package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.serving.ColdStart
import org.ragwortbank.core.serving.StoreChange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ColdLimitTest {
    private val gateway = GatewayFixture()

    init {
        val config = gateway.config(version = 2)
        val desk = config.services.getValue(GatewayFixture.DESK).copy(cold = ColdStart(3.seconds, 2.0))
        gateway.tick(GatewayInput.SettingsReloaded(GatewaySettings(coldOverage = 1.5, coldSlack = 5.0)))
        gateway.applyChanges(StoreChange.ConfigSet(config.copy(services = config.services.put(desk.name, desk))))
        repeat(4) { gateway.advance(1.seconds).also { gateway.confirmConfiguration() } }
        gateway.applyChanges(
            StoreChange.UpstreamRegistered(
                gateway.registration("desk-1", GatewayFixture.DESK).copy(coldRemaining = 3.seconds),
            ),
        )
    }

    private fun send(): List<String> {
        gateway.receiveCall("/book/x")
        return gateway.sentAttempts().map { it.upstream.value }
    }

    @Test
    fun `given a cold upstream beside a warm one, then requests beyond its pace go to the warm one at once`() {
        val sent = (1..8).flatMap { send() }
        assertEquals(8, sent.size)
        assertEquals(1, sent.count { it == "desk-1" })
    }

    @Test
    fun `given only a cold upstream, then requests wait for its pace`() {
        gateway.applyChanges(StoreChange.UpstreamRemoved(gateway.registration("desk-2", GatewayFixture.DESK).id))
        val sent = (1..8).flatMap { send() }
        assertEquals(1, sent.size)
        gateway.advance(1_000.milliseconds)
        assertTrue(gateway.sentAttempts().size in 3..4, "${gateway.sentAttempts().size}")
        assertEquals(emptyList(), gateway.refusals())
    }
}
