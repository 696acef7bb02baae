package org.ragwortbank.standins.fleet

import org.junit.jupiter.api.AfterEach
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class FailureTest {
    private val fleet = TestFleet(FleetPlan(engines = 1, serviceMillis = 1_000))
    private val entries = fleet.fleet.httpAddresses

    @AfterEach
    fun stop() = fleet.close()

    @Test
    fun `given a sidecar killed while it runs a booking, then the booking runs once and repeats do not run it`() {
        val first = fleet.inBackground { TestFleet.text(fleet.book(entries[0], "b-1")) }
        assertTrue(Polling.until { fleet.bookings("b-1") == 1 }, "the booking did not start")
        fleet.sidecar("booking-1").kill()
        assertContains(TestFleet.awaitAnswers(listOf(first)).single(), "\"execution\":\"unknown\"")
        assertContains(TestFleet.text(fleet.book(entries[1], "b-1")), "\"code\":4005")
        assertEquals(1, fleet.bookings("b-1"))
    }

    @Test
    fun `given the key-value service down, then work goes on and what needs it is truthfully not run`() {
        fleet.keyValueFault("down")
        assertTrue(TestFleet.text(fleet.completion(entries[0])).contains("ski-advice@3:0"))
        val refused = TestFleet.text(fleet.book(entries[0], "b-2"))
        assertContains(refused, "\"code\":4006")
        assertEquals(0, fleet.bookings("b-2"))
        fleet.keyValueFault("none")
        assertTrue(Polling.until { "\"method\"" in TestFleet.text(fleet.book(entries[1], "b-2")) })
        assertEquals(1, fleet.bookings("b-2"))
    }

    @Test
    fun `given answers of the key-value service that are lost after the write, then a booking runs once`() {
        fleet.keyValueFault("lose_answers")
        assertContains(TestFleet.text(fleet.book(entries[0], "b-3")), "\"method\"")
        assertContains(TestFleet.text(fleet.book(entries[1], "b-3")), "\"code\":4005")
        assertEquals(1, fleet.bookings("b-3"))
    }

    @Test
    fun `given an engine that forgets its adapters, then the next request is served all the same`() {
        assertContains(TestFleet.text(fleet.completion(entries[0])), "ski-advice@3:0")
        BlockingHttp.get(fleet.upstream("engine-1").address("address"), "/control/forget")
        assertContains(TestFleet.text(fleet.completion(entries[1])), "ski-advice@3:0")
    }

    @Test
    fun `given a killed entry, then the other entry serves its accounts`() {
        fleet.fleet.entries[0].kill()
        fleet.fleet.unlist(fleet.fleet.entries[0])
        assertTrue(Polling.until { "ski-advice@3:0" in TestFleet.text(fleet.completion(entries[1])) })
    }
}
