package org.ragwortbank.core.locality

import org.ragwortbank.core.speed.UnevenGateway
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LocalityTest {
    @Test
    fun `given an adapter in both domains, then requests stay in their own until its queue outweighs the way`() {
        val uneven = UnevenGateway(statesSlowness = true)
        uneven.digest(uneven.second) { it.copy(runningRequests = 1) }
        assertEquals(uneven.second, uneven.choose("a1"))
        uneven.digest(uneven.second) { it.copy(runningRequests = 30) }
        assertEquals(uneven.first, uneven.choose("a1"))
    }

    @Test
    fun `given that no upstream states its slowness, then the domain changes nothing`() {
        val even = UnevenGateway(statesSlowness = false)
        even.digest(even.second) { it.copy(runningRequests = 1) }
        assertEquals(even.first, even.choose("a1"))
    }

    @Test
    fun `given many loads requested at one engine, then more adapters are asked for at the other`() {
        val shares = listOf(0, 20).map { requested ->
            val uneven = UnevenGateway(statesSlowness = true)
            uneven.digest(uneven.first) { it.copy(requestedLoads = requested) }
            (1..40).count { uneven.choose("b$it") == uneven.first }
        }
        assertTrue(shares[1] < shares[0] / 2, "$shares")
    }

    @Test
    fun `given many loads and even upstreams, then adapters are asked for as before`() {
        val shares = listOf(0, 20).map { requested ->
            val even = UnevenGateway(statesSlowness = false)
            even.digest(even.first) { it.copy(requestedLoads = requested) }
            (1..40).count { even.choose("b$it") == even.first }
        }
        assertEquals(shares[0], shares[1])
    }
}
