package org.ragwortbank.standins.fleet

import org.junit.jupiter.api.AfterAll
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class GracefulStopTest {
    @Test
    fun `given streams under way, when entries and sidecars get TERM, then no answer is cut and each exits with 0`() {
        val entries = fleet.fleet.httpAddresses
        val streams = (1..16).map { fleet.stream(entries[it % 2]) }
        assertTrue(Polling.until { fleet.runs() >= streams.size }, "the streams did not start")
        val stopped = listOf(fleet.fleet.entries[0], fleet.sidecar("engine-1"))
        stopped.forEach { it.terminate() }
        val late = (1..4).map { fleet.stream(entries[it % 2]) }
        val answers = TestFleet.awaitAnswers(streams + late)
        assertEquals(emptyList(), answers.filterNot(TestFleet::isWhole))
        assertEquals(listOf(0, 0), stopped.map { it.awaitExit(30.seconds) })
        assertTrue(TestFleet.isWhole(TestFleet.awaitAnswers(listOf(fleet.stream(entries[1]))).single()))
    }

    @Test
    fun `given streams and a booking under way, when every entry and sidecar gets TERM, then all are answered`() {
        TestFleet(plan.copy(serviceMillis = 1_500)).use { all ->
            val entries = all.fleet.httpAddresses
            val streams = (1..12).map { all.stream(entries[it % 2]) }
            val booking = all.inBackground { TestFleet.text(all.book(entries[0], "b-9")) }
            assertTrue(Polling.until { all.runs() >= streams.size && all.bookings("b-9") == 1 }, "nothing started")
            val processes = all.fleet.entries + all.fleet.sidecars
            processes.forEach { it.terminate() }
            assertEquals(emptyList(), TestFleet.awaitAnswers(streams).filterNot(TestFleet::isWhole))
            assertContains(TestFleet.awaitAnswers(listOf(booking)).single(), "\"method\":\"POST\"")
            assertEquals(processes.map { 0 }, processes.map { it.awaitExit(30.seconds) })
        }
    }

    private companion object {
        val plan = FleetPlan(tokenMillis = 25, answerTokens = 60, entrySettings = "[entry]\ndrain_grace = \"1s\"")
        val fleet = TestFleet(plan)

        @AfterAll
        @JvmStatic
        fun stop() = fleet.close()
    }
}
