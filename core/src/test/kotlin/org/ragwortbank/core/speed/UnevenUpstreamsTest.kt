package org.ragwortbank.core.speed

import kotlin.test.Test
import kotlin.test.assertTrue

class UnevenUpstreamsTest {
    @Test
    fun `given engines of uneven speed, then few streams pause too long before 1, 4 and 21 gateways`() {
        listOf(1, 4, 21).forEach { count ->
            val before = lateShare(count, statesSlowness = false)
            val after = lateShare(count, statesSlowness = true)
            println("gateways $count: late before $before, after $after")
            assertTrue(after < 0.9, "$count gateways: $after are late")
            assertTrue(after < before * 9, "$count gateways: $after are late, before $before")
        }
    }

    private fun lateShare(gateways: Int, statesSlowness: Boolean): Double =
        UnevenFleet(gateways, statesSlowness).apply { play(seconds = 12) }.lateShare
}
