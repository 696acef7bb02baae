package org.ragwortbank.core.pressure

import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PressureDecisionTest {
    private val now = Timestamp(0) + 100.seconds
    private val limits = PressureLimits(untakenBytes = 1_000_000)

    @Test
    fun `given nothing held, then nothing is decided`() =
        assertEquals(PressureDecision(), decide(emptyList(), limits, now))

    @Test
    fun `given an upstream that was paused just now, then it stays paused`() =
        assertEquals(PressureDecision(), decide(listOf(row(1, bytes = 70_000, unread = 900.milliseconds)), limits, now))

    @Test
    fun `given an upstream that would soon end its unread answer, when there is room, then it is read on`() {
        val decision = decide(listOf(row(1, bytes = 20_000, unread = 1.seconds)), limits, now)
        assertEquals(mapOf(RequestNumber(1) to 85_536L), decision.readLimits)
        assertTrue(decision.cuts.isEmpty())
    }

    @Test
    fun `given no room, then the answer ends that holds most for longest, and not that of a caller who goes on`() {
        val slowButSound = row(1, bytes = 50_000, unread = 1.seconds, idle = 100.milliseconds)
        val others = (2L..13L).map { row(it, bytes = 80_000, idle = 2.seconds + (it * 100).milliseconds) }
        val decision = decide(others + slowButSound, limits, now)
        assertEquals(mapOf(RequestNumber(13) to CutReason.PROCESS_FULL), decision.cuts)
        assertEquals(setOf(RequestNumber(1)), decision.readLimits.keys)
    }

    @Test
    fun `given more held than the process may hold, then as few answers end as make it fit`() {
        val rows = (1L..30L).map { row(it, bytes = 70_000, idle = (it * 10).milliseconds) }
        val cuts = decide(rows, limits, now).cuts
        assertEquals((15L..30L).map(::RequestNumber).toSet(), cuts.keys)
    }

    @Test
    fun `given room that others were allowed to fill, then it isn't given away twice`() {
        val allowed = (1L..12L).map { row(it, bytes = 40_000, idle = 500.milliseconds).copy(readLimitBytes = 80_000) }
        val decision = decide(allowed + row(13, bytes = 20_000, unread = 1.seconds), limits, now)
        assertEquals(1, decision.cuts.size)
    }

    @Test
    fun `given a connection at its bound whose upstream is unread, then that answer ends`() {
        val decision = decide(listOf(row(1, bytes = 120_000, unread = 1.seconds)), limits, now)
        assertEquals(mapOf(RequestNumber(1) to CutReason.CONNECTION_FULL), decision.cuts)
    }

    @Test
    fun `given a caller that takes nothing, when its events have piled up for ten seconds, then its answer ends`() {
        assertTrue(decide(listOf(row(1, bytes = 70_000, idle = 9.seconds)), limits, now).cuts.isEmpty())
        val decision = decide(listOf(row(1, bytes = 70_000, idle = 10.seconds)), limits, now)
        assertEquals(mapOf(RequestNumber(1) to CutReason.STALLED), decision.cuts)
    }

    @Test
    fun `given a caller that takes nothing, when only little waits and its answer goes on, then it stays`() =
        assertEquals(PressureDecision(), decide(listOf(row(1, bytes = 2_000, idle = 30.seconds)), limits, now))

    @Test
    fun `given a caller that takes nothing of a complete answer, then that ends, however small`() {
        val held = row(1, bytes = 2_000, idle = 10.seconds)
        val complete = held.copy(measure = held.measure.copy(isComplete = true))
        assertEquals(mapOf(RequestNumber(1) to CutReason.STALLED), decide(listOf(complete), limits, now).cuts)
    }

    @Test
    fun `given a caller that takes a part each second of a fast stream, then it is never cut`() {
        var row = HeldRow.first(RequestNumber(1), HeldMeasure(70_000, 0, isUpstreamRead = false), now)
        repeat(300) { step ->
            val at = now + (step * 100).milliseconds
            val isRead = row.readLimitBytes > row.measure.bytes
            val taken = if (step % 10 == 0) 16_384L else 0L
            val read = if (isRead) row.readLimitBytes - row.measure.bytes else 0L
            val bytes = maxOf(row.measure.bytes + read - taken, 0)
            row = row.after(HeldMeasure(bytes, row.measure.takenParts + taken / 16_384, isRead), at)
            val decision = decide(listOf(row), limits, at)
            assertTrue(decision.cuts.isEmpty(), "cut after $step: $row")
            row = decision.readLimits[row.number]?.let { row.copy(readLimitBytes = it) } ?: row
            assertTrue(row.unreadSince?.let { at - it <= 1.seconds } ?: true, "unread at $step: $row")
        }
    }

    @Test
    fun `given a machine's memory, then what may be held follows the lesser of it and the heap`() {
        val small = PressureLimits.of(memoryBytes = 330_000_000, heapBytes = 156_000_000)
        assertEquals(52_000_000, small.bodyBytes + small.untakenBytes + small.heldBackBytes, "heap")
        val smaller = PressureLimits.of(memoryBytes = 240_000_000, heapBytes = 160_000_000)
        assertEquals(40_000_000, smaller.bodyBytes + smaller.untakenBytes + smaller.heldBackBytes, "memory")
    }

    @Test
    fun `given large bodies, then they leave room for small ones`() {
        val bodies = PressureLimits(bodyBytes = 8_000_000)
        assertTrue(bodies.admitsBody(size = 1_000_000, heldBytes = 2_000_000))
        assertTrue(!bodies.admitsBody(size = 1_000_000, heldBytes = 2_000_001))
        assertTrue(bodies.admitsBody(size = 10_000, heldBytes = 7_000_000))
        assertTrue(!bodies.admitsBody(size = 10_000, heldBytes = 7_990_000))
    }

    private fun row(
        number: Long,
        bytes: Long,
        unread: Duration? = null,
        idle: Duration = Duration.ZERO,
    ) = HeldRow(
        number = RequestNumber(number),
        measure = HeldMeasure(bytes, takenParts = 0, isUpstreamRead = unread == null),
        progressAt = now - idle,
        unreadSince = unread?.let { now - it },
    )
}
