package org.ragwortbank.core.crash

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.serving.PromptPartId
import org.ragwortbank.core.serving.RequestFingerprint
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamIncarnation
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CrashTableTest {
    private val service = ServiceName("engines")
    private val bad = CrashTrait.PromptPart(PromptPartId("bad"))
    private val wide = CrashTrait.PromptPart(PromptPartId("wide"))
    private val start = Timestamp(0) + 100.seconds
    private val later = start + 5.seconds

    @Test
    fun `given three crashes apart on different hosts, then the narrowest trait that they share is the cause`() {
        val table = tableOf(0, 300, 600) { suspects(it, bad to 99, wide to 100) }
        assertEquals(bad, causeOf(table)?.trait)
    }

    @Test
    fun `given two crashes, then there is no cause`() = assertNull(causeOf(tableOf(0, 300) { suspects(it, bad to 99) }))

    @Test
    fun `given three crashes at about the same time, then there is no cause`() =
        assertNull(causeOf(tableOf(0, 40, 80) { suspects(it, bad to 99) }))

    @Test
    fun `given three crashes with repeats of one request, then its parts are not the cause but the repeat is`() {
        val table = tableOf(0, 300, 600) { suspects(1, bad to 99) }
        assertEquals<CrashTrait?>(CrashTrait.Repeat(RequestFingerprint(1)), causeOf(table)?.trait)
    }

    @Test
    fun `given a trait that was answered after the crashes, then it is not the cause`() {
        val table = tableOf(0, 300, 600) { suspects(it, bad to 99) }
        assertNull(causeOf(table.clear(listOf(bad), until = start + 700.milliseconds)))
    }

    @Test
    fun `given a trait that was answered before the crashes only, then it may be the cause`() {
        val table = tableOf(0, 300, 600) { suspects(it, bad to 99) }
        assertEquals(bad, causeOf(table.clear(listOf(bad), until = start - 1.seconds))?.trait)
    }

    @Test
    fun `given a cause, then the crashes that it explains count against no other trait`() {
        val table = tableOf(0, 300, 600) { suspects(it, bad to 99, wide to 100) }
        assertNull(causeOf(table.explainedBy(bad)))
    }

    @Test
    fun `given crashes without end, then the table stays small`() {
        val table = (0..500).fold(CrashTable()) { current, number ->
            current.update(crash(number), place(number), start + 100.milliseconds * number) { it }
        }
        assertTrue(table.rows.size <= 32)
        assertTrue(crash(500) in table.rows)
        assertTrue(table.withoutExpired(later + 3_600.seconds).rows.isEmpty())
    }

    // Guards against crashes that take all memory since each request that was lost has as many parts as a head holds.
    @Test
    fun `given crashes with thousands of suspects each, then the table keeps as many as five of them may have`() {
        val table = (0 until 12).fold(CrashTable()) { current, number ->
            current.update(crash(number), place(number), start + 100.milliseconds * number) { row ->
                val parts = (0 until 9_000).map { part("$number-$it") to 1 }
                row.withSuspects(suspects(number, *parts.toTypedArray()), isOwn = true, later)
            }
        }
        assertEquals((7..11).map { crash(it) }, table.rows.keys.toList())
        assertTrue(table.rows.values.sumOf { it.suspects.size } <= 5 * 8_192)
    }

    private fun tableOf(
        vararg millis: Int,
        suspects: (Int) -> PersistentMap<CrashTrait, SuspectRequests>,
    ): CrashTable =
        millis.foldIndexed(CrashTable()) { index, table, time ->
            table.update(crash(index), place(index), start + time.milliseconds) {
                it.withSuspects(suspects(index), isOwn = false, later)
            }
        }

    private fun suspects(
        request: Int,
        vararg breadths: Pair<CrashTrait, Int>,
    ): PersistentMap<CrashTrait, SuspectRequests> {
        val fingerprint = RequestFingerprint(request.toLong())
        val shared = breadths.associate { (trait, breadth) ->
            trait to SuspectRequests(breadth, persistentSetOf(fingerprint))
        }
        return persistentMapOf<CrashTrait, SuspectRequests>()
            .putAll(shared)
            .put(CrashTrait.Repeat(fingerprint), SuspectRequests.repeatsOf(fingerprint))
    }

    private fun causeOf(table: CrashTable): Cause? = table.cause(later, 250.milliseconds, mapOf(service to 8))

    private fun part(name: String): CrashTrait = CrashTrait.PromptPart(PromptPartId(name))

    private fun crash(number: Int) = UpstreamIncarnation(UpstreamId("engine-$number"), startedMillis = 1)

    private fun place(number: Int) = CrashPlace(service, "10.0.0.$number")
}
