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

    @Test
    fun `given use by a peer, then it counts once however often it is told`() {
        val updated = bucket
            .receiveTotal("peer", 1, 150, countsFromZero = true)
            .receiveTotal("peer", 1, 150, countsFromZero = true)
        assertEquals(50.0, updated.level)
    }

    @Test
    fun `given a peer that starts again, then its new total counts from nothing`() {
        val updated = bucket
            .receiveTotal("peer", 1, 100, countsFromZero = true)
            .receiveTotal("peer", 2, 60, countsFromZero = true)
        assertEquals(40.0, updated.level)
    }

    @Test
    fun `given totals from before this entry's time, then they don't count`() {
        assertEquals(200.0, bucket.receiveTotal("peer", 1, 1_000_000, countsFromZero = false).level)
    }

    @Test
    fun `given silent peers, then they are charged their share and corrected when they speak`() {
        val empty = bucket.consume(200)
        val refilled = empty.refill(start + 4.seconds, mapOf("peer" to 4.seconds), gateways = 2)
        assertEquals(200.0, refilled.level)
        assertTrue(refilled.admits(200))
        val corrected = refilled.consume(200).receiveTotal("peer", 1, 200, countsFromZero = true)
        assertEquals(0.0, corrected.level)
    }

    @Test
    fun `given a cut between two entries, then both together stay within the rate`() {
        val sides = listOf(bucket.consume(200), bucket.consume(200))
        val admitted = sides.sumOf { side ->
            (1..40).fold(side to 0L) { (b, sum), second ->
                val filled = b.refill(start + second.seconds, mapOf("other" to second.seconds), gateways = 2)
                if (filled.admits(50)) filled.consume(50) to sum + 50 else filled to sum
            }.second
        }
        assertTrue(admitted <= 40 * 100, "admitted $admitted")
    }

    @Test
    fun `given more than the burst, then it is admitted when the bucket is full`() {
        assertTrue(bucket.admits(500))
        assertFalse(bucket.consume(1).admits(500))
    }
}
