package org.ragwortbank.core.speed

import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.serving.StoreChange
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class SpeedSystemTest {
    @Test
    fun `given learned speeds, then the median is the usual one`() {
        val uneven = UnevenGateway(statesSlowness = true)
        uneven.digest(uneven.first) { it.copy(millisPerToken = 4.0) }
        uneven.digest(uneven.second) { it.copy(millisPerToken = 9.0) }
        uneven.gateway.advance(100.milliseconds)
        assertEquals(9.0, uneven.speed()?.millisPerToken)
    }

    @Test
    fun `given that the upstreams that stated their slowness are replaced, then speeds still count`() {
        val uneven = UnevenGateway(statesSlowness = true)
        listOf("engine-3", "engine-4").forEach {
            val registration = uneven.gateway.registration(it, GatewayFixture.ENGINES)
            uneven.gateway.applyChanges(StoreChange.UpstreamRegistered(registration))
        }
        uneven.gateway.applyChanges(
            StoreChange.UpstreamRemoved(uneven.first),
            StoreChange.UpstreamRemoved(uneven.second),
        )
        uneven.gateway.advance(200.milliseconds)
        assertEquals(ServiceSpeed(), uneven.speed())
    }

    @Test
    fun `given three figures of load, then no service has a speed`() {
        val even = UnevenGateway(statesSlowness = false)
        even.digest(even.first) { it.copy(millisPerToken = 4.0) }
        even.gateway.advance(200.milliseconds)
        assertEquals(emptyMap(), even.gateway.tables.speeds)
    }

    private fun UnevenGateway.speed() = gateway.tables.speeds[GatewayFixture.ENGINES]
}
