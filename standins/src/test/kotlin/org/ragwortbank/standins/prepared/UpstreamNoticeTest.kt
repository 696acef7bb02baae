package org.ragwortbank.standins.prepared

import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.standins.fleet.Polling
import org.ragwortbank.standins.fleet.testLauncher
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Runs a gateway as a process before a plain service that says of itself that it leaves, or wants no requests. */
class UpstreamNoticeTest {
    private val launcher = testLauncher("ragwortbank-notices")
    private val fleet = PreparedFleet(launcher)
    private val service = fleet.deployment.plainService

    init {
        assertTrue(fleet.awaitReady(), "the gateway did not become ready in time")
    }

    @AfterTest
    fun `stop the processes`() {
        fleet.stop()
    }

    // Guards against requests to an upstream that has said in an answer that it leaves.
    @Test
    fun `given an answer that says its upstream leaves, then that gets no more requests until a later incarnation`() {
        service.behaviour.set(WorkerBehaviour(isLeaving = true))
        assertEquals(200, status("last"))
        assertEquals(List(3) { 503 }, (1..3).map { status("later-$it") })
        fleet.deployment.store.put(SERVICE_KEY, registration())
        Thread.sleep(STORE_BOUND_MILLIS)
        assertEquals(503, status("listed-again"))
        service.behaviour.set(WorkerBehaviour())
        fleet.deployment.store.put(SERVICE_KEY, registration().replace("\"born\":1", "\"born\":2"))
        assertTrue(Polling.until { status("reborn") == 200 })
        assertEquals(listOf("last", "reborn"), service.executedRequestIds.filter { it != "ready" }.distinct())
    }

    // Guards against requests to an upstream that has asked for none for a while.
    @Test
    fun `given a 503 with a time, then its upstream gets nothing before the time is over and is used again after it`() {
        service.behaviour.set(WorkerBehaviour(retryAfter = "2.5"))
        assertEquals(List(4) { 503 }, (1..4).map { status("early-$it") })
        assertEquals(listOf("early-1"), service.rejectedRequestIds)
        service.behaviour.set(WorkerBehaviour())
        assertTrue(Polling.until { status("late") == 200 })
        assertEquals(listOf("early-1"), service.rejectedRequestIds)
    }

    private fun status(id: String): Int? = (fleet.caller.callIdempotent(id) as? HttpReply.Answered)?.status

    private fun registration(): String =
        service.currentState.toRegistrationJson("desk", fleet.deployment.plainServiceAddress)

    private companion object {
        const val SERVICE_KEY = "servers/i-desk"

        /** Bound set by the operators on the time until a change of the store applies. */
        const val STORE_BOUND_MILLIS = 2_000L
    }
}
