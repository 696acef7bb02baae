package org.ragwortbank.standins.fleet

import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FailureTest {
    private val fleet = TestFleet(FleetPlan(engines = 1, serviceResponseMillis = 1_000))
    private val entries = fleet.processes.httpAddresses

    @AfterEach
    fun stop() = fleet.close()

    @Test
    fun `given a sidecar killed during a booking, then the booking runs once and a repeated request does not run it`() {
        val booking = fleet.inBackground { TestFleet.textOf(fleet.bookLesson(entries[0], "b-1")) }
        assertTrue(Polling.until { fleet.bookingCount("b-1") == 1 }, "the booking did not start")
        fleet.sidecarOf("booking-1").kill()
        assertContains(TestFleet.awaitResponses(listOf(booking)).single(), "\"execution\":\"unknown\"")
        assertContains(TestFleet.textOf(fleet.bookLesson(entries[1], "b-1")), "\"code\":4005")
        assertEquals(1, fleet.bookingCount("b-1"))
    }

    @Test
    fun `given an unavailable key-value service, then completions succeed and bookings do not run until it is back`() {
        fleet.setKeyValueFault("down")
        assertTrue(TestFleet.textOf(fleet.requestCompletion(entries[0])).contains("ski-advice@3:0"))
        val rejection = TestFleet.textOf(fleet.bookLesson(entries[0], "b-2"))
        assertContains(rejection, "\"code\":4006")
        assertEquals(0, fleet.bookingCount("b-2"))
        fleet.setKeyValueFault("none")
        assertTrue(Polling.until { "\"method\"" in TestFleet.textOf(fleet.bookLesson(entries[1], "b-2")) })
        assertEquals(1, fleet.bookingCount("b-2"))
    }

    @Test
    fun `given responses of the key-value service lost after the write, then a booking runs once`() {
        fleet.setKeyValueFault("lose_answers")
        assertContains(TestFleet.textOf(fleet.bookLesson(entries[0], "b-3")), "\"method\"")
        assertContains(TestFleet.textOf(fleet.bookLesson(entries[1], "b-3")), "\"code\":4005")
        assertEquals(1, fleet.bookingCount("b-3"))
    }

    @Test
    fun `given an engine that has lost its adapters, then the next request succeeds`() {
        assertContains(TestFleet.textOf(fleet.requestCompletion(entries[0])), "ski-advice@3:0")
        BlockingHttp.get(fleet.upstreamNamed("engine-1").address("address"), "/control/forget")
        assertContains(TestFleet.textOf(fleet.requestCompletion(entries[1])), "ski-advice@3:0")
    }

    @Test
    fun `given a killed entry, then the other entry serves its accounts`() {
        fleet.processes.entries[0].kill()
        fleet.processes.unregister(fleet.processes.entries[0])
        assertTrue(Polling.until { "ski-advice@3:0" in TestFleet.textOf(fleet.requestCompletion(entries[1])) })
    }
}
