package org.ragwortbank.core.gateway

import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class FleetBucketTest {
    private val start = Timestamp(0)
    private val bucket = FleetBucket(rate = 100, burst = 200, level = 200.0, updatedAt = start)

    private fun FleetBucket.admits(tokens: Long, now: Timestamp): Boolean = admits(marginOf(tokens), now)

    @Test
    fun `given a peer's total, then it counts once however often it is reported`() {
        val updated = bucket
            .receiveTotal("peer", 1, 150, countsFromZero = true, start)
            .receiveTotal("peer", 1, 150, countsFromZero = true, start)
        assertEquals(50.0, updated.level)
    }

    @Test
    fun `given a restarted peer, then its new total counts from zero`() {
        val updated = bucket
            .receiveTotal("peer", 1, 100, countsFromZero = true, start)
            .receiveTotal("peer", 2, 60, countsFromZero = true, start)
        assertEquals(40.0, updated.level)
    }

    @Test
    fun `given a peer that started before this gateway, then its first total does not count`() {
        assertEquals(200.0, bucket.receiveTotal("peer", 1, 1_000_000, countsFromZero = false, start).level)
    }

    @Test
    fun `given an unresponsive peer, then it is charged its share, and corrected by its next digest`() {
        val empty = bucket.consume(200)
        val refilled = empty.refill(start + 4.seconds, mapOf("peer" to 4.seconds), gateways = 2)
        assertEquals(200.0, refilled.level)
        assertTrue(refilled.admits(200, start + 4.seconds))
        val corrected = refilled.consume(200).receiveTotal("peer", 1, 200, countsFromZero = true, start)
        assertEquals(0.0, corrected.level)
    }

    @Test
    fun `given a partition between two gateways, then both together stay within the rate`() {
        val sides = listOf(bucket.consume(200), bucket.consume(200))
        val admitted = sides.sumOf { side ->
            (1..40).fold(side to 0L) { (current, sum), second ->
                val filled = current.refill(start + second.seconds, mapOf("other" to second.seconds), gateways = 2)
                if (filled.admits(50, start + second.seconds)) filled.consume(50) to sum + 50 else filled to sum
            }.second
        }
        assertTrue(admitted <= 40 * 100, "admitted $admitted tokens, expected at most 4000")
    }

    @Test
    fun `given a request above the burst, then it is admitted when the bucket is full`() {
        assertTrue(bucket.admits(500, start))
        assertFalse(bucket.consume(1).admits(500, start))
    }
}
