package org.ragwortbank.core.speed

import kotlin.test.Test
import kotlin.test.assertEquals

class SpeedChoiceTest {
    @Test
    fun `given a slow engine with the adapter, then a long answer goes to the quick one and it is not asked again`() {
        val uneven = gatewayWithSlowSecond(statesSlowness = true)
        assertEquals(uneven.first, uneven.choose("a1"))
    }

    @Test
    fun `given that no upstream states its slowness, then learned speeds change nothing`() {
        val even = gatewayWithSlowSecond(statesSlowness = false)
        even.digest(even.first) { it.copy(runningRequests = 1, millisPerToken = 4.0) }
        assertEquals(even.second, even.choose("a1"))
    }

    @Test
    fun `given an engine whose speed is unknown, then it counts as a usual one`() {
        val uneven = gatewayWithSlowSecond(statesSlowness = true)
        uneven.digest(uneven.first) { it.copy(runningRequests = 2) }
        assertEquals(uneven.second, uneven.choose("a1"))
    }

    private fun gatewayWithSlowSecond(statesSlowness: Boolean) = UnevenGateway(statesSlowness).apply {
        digest(first) { it.copy(millisPerToken = 4.0) }
        digest(second) { it.copy(millisPerToken = 9.0) }
    }
}
