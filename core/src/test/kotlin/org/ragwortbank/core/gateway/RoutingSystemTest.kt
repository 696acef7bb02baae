package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RoutingSystemTest {
    private val gateway = GatewayFixture()
    private val first = UpstreamId("engine-1")
    private val second = UpstreamId("engine-2")
    private var lastDigestNumber = 1_000L

    @Test
    fun `given an adapter that is resident at one engine, then its requests go there`() {
        gateway.receiveEngineDigest(first, resident = emptyMap())
        repeat(3) {
            gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
            assertEquals(second, gateway.sentAttempts().single().upstream)
        }
    }

    // Guards against requests that crash engines and go back to one host again and again, where nothing is learned.
    @Test
    fun `given an engine that was started again, then it gets its share and not all that comes`() =
        listOf(ReportedLoad(running = 0, waiting = 0), null).forEach(::assertGetsItsShare)

    private fun assertGetsItsShare(reportedLoad: ReportedLoad?) {
        val third = gateway.registration("engine-3", GatewayFixture.ENGINES)
        gateway.applyChanges(StoreChange.UpstreamRegistered(third))
        repeat(12) { answerOne(reportedLoad) }
        gateway.confirmConfiguration()
        gateway.applyChanges(StoreChange.UpstreamRegistered(third.copy(startedMillis = gateway.now.nanos)))
        gateway.receiveCall("/chat/x")
        assertNotEquals(third.id, gateway.sentAttempts().single().upstream, "with $reportedLoad reported")
    }

    private fun answerOne(reportedLoad: ReportedLoad?) {
        val number = gateway.receiveCall("/chat/x")
        val idle = AnswerFacts(status = 200, notRun = false, load = reportedLoad)
        gateway.advance(100.milliseconds, GatewayInput.AnswerHeadReceived(number, 1, idle))
        gateway.tick(GatewayInput.AnswerCompleted(number, 1))
    }

    @Test
    fun `given an adapter that is resident nowhere, then one engine loads it and gets the request after that`() {
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a9"))
        assertTrue(gateway.sentAttempts().isEmpty())
        val digest = gateway.effects.filterIsInstance<GatewayEffect.SendDemandDigest>()
            .single { it.digest.loadRequests.isNotEmpty() }.digest
        assertEquals(AdapterKey(GatewayFixture.MODEL, "a9"), digest.loadRequests.single().adapter)
        gateway.receiveEngineDigest(digest.upstream, resident = mapOf("a9" to 1))
        assertEquals(digest.upstream, gateway.sentAttempts().single().upstream)
    }

    @Test
    fun `given an engine without free slots, then a load is requested at another`() {
        gateway.receiveEngineDigest(first, freeSlots = 0)
        repeat(4) { index ->
            gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "b$index"))
            val digests = gateway.effects.filterIsInstance<GatewayEffect.SendDemandDigest>().map { it.digest }
            assertEquals(second, digests.last { it.loadRequests.isNotEmpty() }.upstream)
        }
    }

    @Test
    fun `given engines whose slots come and go, then a waiting request stays with the engine that it asked`() {
        gateway.receiveEngineDigest(first, freeSlots = 0)
        gateway.receiveEngineDigest(second, freeSlots = 0)
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a9"))
        val asked = gateway.tables.requests.values.single().loadingUpstream
        repeat(10) {
            gateway.receiveEngineDigest(listOf(first, second)[it % 2], freeSlots = 0)
            gateway.advance(50.milliseconds)
            assertEquals(asked, gateway.tables.requests.values.single().loadingUpstream)
        }
    }

    @Test
    fun `given an engine whose free slot others have asked for, then a load is requested at one with more room`() {
        val crowded = digestOf(first, queuedRequests = 0).copy(freeSlots = 1, requestedLoads = 3)
        gateway.tick(GatewayInput.EngineDigestReceived(crowded))
        gateway.receiveEngineDigest(second, freeSlots = 1)
        repeat(4) { index ->
            gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "b$index"))
            assertEquals(second, gateway.tables.requests.values.last().loadingUpstream)
        }
    }

    @Test
    fun `given an adapter that is never loaded, then its request is refused as not run after the longest wait`() {
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a9"))
        gateway.advance(2_600.milliseconds)
        assertEquals(ResultCode.QUEUE_TIMEOUT, gateway.refusals().single().code)
    }

    @Test
    fun `given a newer version of an adapter, then it is requested by version and the old one is not used`() {
        gateway.applyChanges(StoreChange.NewestVersionSet(AdapterKey(GatewayFixture.MODEL, "a1"), 2))
        gateway.advance(3.seconds)
        gateway.receiveEngineDigest(first)
        gateway.receiveEngineDigest(second)
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        assertTrue(gateway.sentAttempts().isEmpty())
        gateway.receiveEngineDigest(first, resident = mapOf("a1" to 2))
        assertEquals(2, gateway.sentAttempts().single().adapterVersion)
    }

    @Test
    fun `given a third version just published, then only the second is still used, not the first`() {
        val adapter = AdapterKey(GatewayFixture.MODEL, "a1")
        gateway.applyChanges(StoreChange.NewestVersionSet(adapter, 2))
        gateway.advance(3.seconds)
        gateway.receiveEngineDigest(first)
        gateway.receiveEngineDigest(second, resident = mapOf("a1" to 2))
        gateway.applyChanges(StoreChange.NewestVersionSet(adapter, 3))
        val idle = AnswerFacts(status = 200, notRun = false, load = ReportedLoad(running = 0, waiting = 0))
        repeat(6) {
            val number = gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
            assertEquals(second, gateway.sentAttempts().single().upstream)
            gateway.tick(GatewayInput.AnswerHeadReceived(number, 1, idle), GatewayInput.AnswerCompleted(number, 1))
        }
    }

    @Test
    fun `given a newer version just published, then the previous one is still used meanwhile`() {
        gateway.applyChanges(StoreChange.NewestVersionSet(AdapterKey(GatewayFixture.MODEL, "a1"), 2))
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        assertEquals(null, gateway.sentAttempts().single().adapterVersion)
    }

    @Test
    fun `given the previous version at an engine whose queue may outlast its grace, then it is not used there`() {
        gateway.receiveEngineDigest(second, resident = emptyMap())
        gateway.applyChanges(StoreChange.NewestVersionSet(AdapterKey(GatewayFixture.MODEL, "a1"), 2))
        gateway.tick(GatewayInput.EngineDigestReceived(digestOf(first, queuedRequests = 1)))
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        assertTrue(gateway.sentAttempts().isEmpty())
        gateway.tick(GatewayInput.EngineDigestReceived(digestOf(first, queuedRequests = 0)))
        assertEquals(first, gateway.sentAttempts().single().upstream)
    }

    @Test
    fun `given the previous version at an engine with all places taken, then it is not used there`() {
        gateway.receiveEngineDigest(second, resident = emptyMap())
        gateway.applyChanges(StoreChange.NewestVersionSet(AdapterKey(GatewayFixture.MODEL, "a1"), 2))
        repeat(4) {
            gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
            assertEquals(first, gateway.sentAttempts().single().upstream)
        }
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        assertTrue(gateway.sentAttempts().isEmpty())
    }

    private fun digestOf(engine: UpstreamId, queuedRequests: Int) = EngineDigest(
        upstream = engine,
        incarnation = 1,
        number = ++lastDigestNumber,
        resident = persistentMapOf(AdapterKey(GatewayFixture.MODEL, "a1") to 1L),
        residentModels = persistentSetOf(GatewayFixture.MODEL),
        queuedRequests = queuedRequests,
    )

    @Test
    fun `given a process that starts after a version was published, then the previous one is not used`() {
        val named = StoreChange.NewestVersionSet(AdapterKey(GatewayFixture.MODEL, "a1"), 2)
        gateway.tick(GatewayInput.StoreRead(gateway.storeContents().add(named), gateway.now))
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        assertTrue(gateway.sentAttempts().isEmpty())
    }

    @Test
    fun `given an engine that restarted without its model, then nothing is sent there`() {
        val restarted = gateway.registration("engine-2", GatewayFixture.ENGINES, startedMillis = 2)
        val empty = restarted.copy(residentModels = persistentSetOf())
        gateway.applyChanges(StoreChange.UpstreamRegistered(empty))
        repeat(3) {
            gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
            assertEquals(first, gateway.sentAttempts().single().upstream)
        }
    }

    @Test
    fun `given an engine that rejects an adapter as missing, then nothing is sent there until its next digest`() {
        gateway.receiveEngineDigest(second, resident = emptyMap())
        val number = gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        val facts = AnswerFacts(status = 421, notRun = true, load = null)
        gateway.tick(GatewayInput.AnswerHeadReceived(number, 1, facts))
        assertTrue(gateway.sentAttempts().isEmpty())
        gateway.advance(100.milliseconds)
        assertTrue(gateway.sentAttempts().isEmpty())
        gateway.receiveEngineDigest(first)
        assertEquals(first, gateway.sentAttempts().single().upstream)
    }

    @Test
    fun `given a later incarnation at the endpoint of a listed upstream, then nothing is sent to the earlier one`() {
        val later = gateway.registration("new-desk-1", GatewayFixture.DESK, startedMillis = 9)
        gateway.applyChanges(StoreChange.UpstreamRegistered(later))
        gateway.applyChanges(StoreChange.UpstreamRegistered(gateway.registration("desk-1", GatewayFixture.DESK)))
        repeat(6) {
            gateway.receiveCall("/look/x")
            assertTrue(gateway.sentAttempts().single().upstream != UpstreamId("desk-1"))
        }
    }

    @Test
    fun `given engines that lost their base model, then refusals carry the expected remaining load time`() {
        listOf("engine-1", "engine-2").forEach { id ->
            val restarted = gateway.registration(id, GatewayFixture.ENGINES, startedMillis = 2)
            val empty = restarted.copy(residentModels = persistentSetOf())
            gateway.applyChanges(StoreChange.UpstreamRegistered(empty))
        }
        val retryTimes = listOf(0.seconds, 1.seconds, 5.seconds).map { delay ->
            gateway.advance(delay)
            gateway.confirmConfiguration()
            gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
            assertEquals(Execution.NOT_RUN, gateway.refusals().single().execution)
            gateway.refusals().single().retryAfter
        }
        assertEquals(listOf<Duration?>(1_800.milliseconds, 800.milliseconds, 500.milliseconds), retryTimes)
        gateway.receiveEngineDigest(first)
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        assertEquals(first, gateway.sentAttempts().single().upstream)
        assertTrue(gateway.tables.modelMissingSince.isEmpty())
    }

    @Test
    fun `given a draining upstream, then nothing more is sent to it`() {
        val leaving = gateway.registration("desk-1", GatewayFixture.DESK, accepting = false)
        gateway.applyChanges(StoreChange.UpstreamRegistered(leaving))
        repeat(4) {
            gateway.receiveCall("/look/x")
            assertEquals(UpstreamId("desk-2"), gateway.sentAttempts().single().upstream)
        }
    }

    @Test
    fun `given an engine that takes requests and answers none, then new ones go elsewhere after a while`() {
        gateway.receiveEngineDigest(second, resident = emptyMap())
        repeat(4) {
            gateway.receiveCall("/resume/x", gateway.call("/resume/x", adapter = "a1"))
            if (it < 3) assertEquals(first, gateway.sentAttempts().single().upstream)
            gateway.advance(600.milliseconds)
            gateway.receiveEngineDigest(first)
            gateway.receiveEngineDigest(second, resident = emptyMap())
        }
        assertEquals(second, gateway.tables.requests.values.last().loadingUpstream)
    }

    @Test
    fun `given an upstream that answers others while one request waits, then new requests still go there`() {
        val busy = AnswerFacts(status = 200, notRun = false, load = ReportedLoad(running = 3, waiting = 0))
        gateway.applyChanges(StoreChange.UpstreamRemoved(UpstreamId("desk-2")))
        gateway.receiveCall("/look/x")
        repeat(8) {
            gateway.advance(300.milliseconds)
            val number = gateway.receiveCall("/look/x")
            assertEquals(UpstreamId("desk-1"), gateway.sentAttempts().single().upstream)
            gateway.tick(GatewayInput.AnswerHeadReceived(number, 1, busy), GatewayInput.AnswerCompleted(number, 1))
        }
    }

    @Test
    fun `given an upstream that fails, then nothing is sent to it until its back-off ends`() {
        val number = gateway.receiveCall("/book/x")
        val failed = gateway.sentAttempts().single().upstream
        gateway.tick(GatewayInput.AttemptFailed(number, 1, AttemptFailure.ConnectionLost("reset")))
        gateway.receiveCall("/book/y")
        assertTrue(gateway.sentAttempts().single().upstream != failed)
        gateway.advance(500.milliseconds)
        gateway.receiveCall("/book/z")
        assertEquals(failed, gateway.sentAttempts().single().upstream)
    }
}
