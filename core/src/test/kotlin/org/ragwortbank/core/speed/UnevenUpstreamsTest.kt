package org.ragwortbank.core.speed

import kotlin.test.Test
import kotlin.test.assertTrue

/** Replays of the load that an uneven fleet of engines gets, with and without the decisions by speed. */
class UnevenUpstreamsTest {
    // Guards against streams that pause too long because slow engines get as many requests as quick ones.
    @Test
    fun `given 400 adapters on engines of uneven speed, then less than half as many streams pause too long`() {
        listOf(1, 4, 21).forEach { gateways ->
            val before = play(gateways, statesSlowness = false, adapters = 400)
            val after = play(gateways, statesSlowness = true, adapters = 400)
            val text = "$gateways gateways: late ${after.lateShare}, before ${before.lateShare}"
            println("$text, loads ${after.loads}, before ${before.loads}")
            assertTrue(after.lateShare < before.lateShare / 2, text)
            assertTrue(after.loads < before.loads * 5 / 4, "$gateways gateways: ${after.loads} loads")
        }
    }

    @Test
    fun `given half as much load again, then fewer streams pause too long by a fifth`() {
        val before = UnevenFleet(21, statesSlowness = false, adapterCount = 400, loadFactor = 1.5)
        val after = UnevenFleet(21, statesSlowness = true, adapterCount = 400, loadFactor = 1.5)
        listOf(before, after).forEach { it.play(seconds = 12) }
        val text = "late ${after.lateShare}, before ${before.lateShare}"
        println("21 gateways at 1.5 times the load: $text, loads ${after.loads}, before ${before.loads}")
        assertTrue(after.lateShare < before.lateShare * 0.8, text)
    }

    // Guards against gateways with old digests that all choose the same engine.
    @Test
    fun `given no adapters, then few streams pause too long, also when gateways know little of each other`() {
        listOf(1, 4, 21).forEach { gateways ->
            val late = play(gateways, statesSlowness = true, adapters = 0).lateShare
            println("$gateways gateways without adapters: late $late")
            assertTrue(late < 0.08, "$gateways gateways: late $late")
        }
    }

    private fun play(gateways: Int, statesSlowness: Boolean, adapters: Int): UnevenFleet =
        UnevenFleet(gateways, statesSlowness, adapters).apply { play(seconds = 12) }
}
