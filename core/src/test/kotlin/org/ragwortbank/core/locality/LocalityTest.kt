package org.ragwortbank.core.locality

import org.ragwortbank.core.speed.UnevenGateway
import kotlin.test.Test
import kotlin.test.assertEquals

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
}
