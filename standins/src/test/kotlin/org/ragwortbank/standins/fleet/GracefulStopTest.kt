package org.ragwortbank.standins.fleet

import org.junit.jupiter.api.AfterAll
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class GracefulStopTest {
    @Test
    fun `given open streams, when an entry and a sidecar get SIGTERM, then no stream is cut and both exit with 0`() {
        val entries = fleet.processes.httpAddresses
        val streams = (1..16).map { fleet.startStream(entries[it % 2]) }
        assertTrue(Polling.until { fleet.startedRuns() >= streams.size }, "the streams did not start")
        val stoppedProcesses = listOf(fleet.processes.entries[0], fleet.sidecarOf("engine-1"))
        stoppedProcesses.forEach { it.terminate() }
        val lateStreams = (1..4).map { fleet.startStream(entries[it % 2]) }
        val responses = TestFleet.awaitResponses(streams + lateStreams)
        assertEquals(emptyList(), responses.filterNot(TestFleet::isCompleteStream))
        assertEquals(listOf(0, 0), stoppedProcesses.map { it.awaitExit(30.seconds) })
        assertTrue(TestFleet.isCompleteStream(TestFleet.awaitResponses(listOf(fleet.startStream(entries[1]))).single()))
    }

    @Test
    fun `given open streams and a booking, when all entries and sidecars get SIGTERM, then all requests complete`() {
        TestFleet(plan.copy(serviceResponseMillis = 1_500)).use { fleetToStop ->
            val entries = fleetToStop.processes.httpAddresses
            val streams = (1..12).map { fleetToStop.startStream(entries[it % 2]) }
            val booking = fleetToStop.inBackground { TestFleet.textOf(fleetToStop.bookLesson(entries[0], "b-9")) }
            val allStarted = Polling.until {
                fleetToStop.startedRuns() >= streams.size && fleetToStop.bookingCount("b-9") == 1
            }
            assertTrue(allStarted, "the streams and the booking did not start")
            val processes = fleetToStop.processes.entries + fleetToStop.processes.sidecars
            processes.forEach { it.terminate() }
            assertEquals(emptyList(), TestFleet.awaitResponses(streams).filterNot(TestFleet::isCompleteStream))
            assertContains(TestFleet.awaitResponses(listOf(booking)).single(), "\"method\":\"POST\"")
            assertEquals(processes.map { 0 }, processes.map { it.awaitExit(30.seconds) })
        }
    }

    private companion object {
        val plan = FleetPlan(tokenMillis = 25, responseTokens = 60, entrySettings = "[entry]\ndrain_grace = \"1s\"")
        val fleet = TestFleet(plan)

        @AfterAll
        @JvmStatic
        fun stop() = fleet.close()
    }
}
