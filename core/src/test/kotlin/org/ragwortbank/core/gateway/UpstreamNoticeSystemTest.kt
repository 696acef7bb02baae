package org.ragwortbank.core.gateway

import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamIncarnation
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class UpstreamNoticeSystemTest {
    private val gateway = GatewayFixture()
    private val first = UpstreamId("desk-1")
    private val second = UpstreamId("desk-2")

    // Guards against requests to an upstream that has said in an answer that it leaves, while the store lists it as up.
    @Test
    fun `given an upstream that says it leaves, then it gets no more requests whatever the store lists`() {
        leave(first)
        assertEquals(listOf(second, second, second), targets(3))
        register(first, startedMillis = 1)
        assertEquals(listOf(second, second, second), targets(3))
        gateway.applyChanges(StoreChange.UpstreamRemoved(first))
        register(first, startedMillis = 1)
        assertEquals(listOf(second, second, second), targets(3))
    }

    @Test
    fun `given an upstream that left, when a later incarnation of it registers, then that one gets requests`() {
        leave(first)
        register(first, startedMillis = 2)
        leave(second)
        assertEquals(listOf(first, first), targets(2))
    }

    @Test
    fun `given a notice of an earlier incarnation, then the present one still gets requests`() {
        register(first, startedMillis = 2)
        leave(first)
        leave(second)
        assertEquals(listOf(first, first), targets(2))
    }

    @Test
    fun `given a request that waits for a load at an upstream that leaves, then the load is requested elsewhere`() {
        val number = gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a9"))
        val asked = checkNotNull(gateway.tables.requests.getValue(number).loadingUpstream)
        leave(asked)
        gateway.advance(50.milliseconds)
        assertTrue(gateway.tables.requests.getValue(number).loadingUpstream != asked)
    }

    // Guards against requests to an upstream that has asked for none for a while.
    @Test
    fun `given an upstream that wants no requests for a while, then it gets none before the time is over`() {
        keepQuiet(first, 2.seconds)
        assertEquals(listOf(second, second, second), targets(3))
        keepQuiet(first, 100.milliseconds)
        gateway.advance(1_900.milliseconds)
        assertEquals(listOf(second, second), targets(2))
        gateway.advance(150.milliseconds)
        keepQuiet(second, 2.seconds)
        assertEquals(listOf(first, first), targets(2))
    }

    @Test
    fun `given an upstream that wants no requests, when it answers an earlier one, then it still gets none`() {
        val number = gateway.receiveCall("/look/x")
        val upstream = gateway.sentAttempts().single().upstream
        keepQuiet(upstream, 2.seconds)
        answer(number)
        assertTrue(upstream !in targets(3))
    }

    @Test
    fun `given a service whose upstreams all want no requests, then a request is refused at once as not run`() {
        keepQuiet(first, 5.seconds)
        keepQuiet(second, 2.seconds)
        gateway.receiveCall("/look/x")
        val refusal = gateway.refusals().single()
        assertEquals(Execution.NOT_RUN, refusal.execution)
        assertTrue((refusal.retryAfter ?: Duration.ZERO) in 2.seconds..2_500.milliseconds)
    }

    private fun leave(upstream: UpstreamId) = say(upstream, UpstreamNotice(isLeaving = true))

    private fun keepQuiet(upstream: UpstreamId, time: Duration) = say(upstream, UpstreamNotice(quietTime = time))

    private fun say(upstream: UpstreamId, notice: UpstreamNotice) =
        gateway.tick(GatewayInput.UpstreamNoticeReceived(UpstreamIncarnation(upstream, startedMillis = 1), notice))

    private fun register(upstream: UpstreamId, startedMillis: Long) {
        val registration = gateway.registration(upstream.value, ServiceName("desk"), startedMillis = startedMillis)
        gateway.applyChanges(StoreChange.UpstreamRegistered(registration))
    }

    /** The upstreams that [count] requests are sent to. */
    private fun targets(count: Int): List<UpstreamId> = (1..count).map {
        val number = gateway.receiveCall("/look/x")
        gateway.sentAttempts().single().upstream.also { answer(number) }
    }

    private fun answer(number: RequestNumber) {
        val facts = AnswerFacts(status = 200, notRun = false, load = null)
        gateway.tick(GatewayInput.AnswerHeadReceived(number, 1, facts), GatewayInput.AnswerCompleted(number, 1))
    }
}
