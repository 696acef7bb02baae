package org.ragwortbank.core.locality

import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.gateway.AttemptFailure
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.RequestStage
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EvacuationTest {
    private val fleet = PlacedFleet()
    private val gateway = fleet.gateway

    @Test
    fun `given an emptied domain, then new requests go elsewhere until it is lifted`() {
        assertEquals(PlacedFleet.EITHER, fleet.requestsInParallel(8))
        fleet.evacuate(DOMAIN_A)
        assertEquals(setOf(DOMAIN_B), fleet.requestsInParallel(8))
        fleet.lift(DOMAIN_A)
        assertContains(fleet.requestsInParallel(8), DOMAIN_A)
    }

    @Test
    fun `given a full read of the store, then it empties what it names and lifts what it doesn't`() {
        fleet.evacuate(DOMAIN_A)
        fleet.readAll(StoreChange.DomainEvacuated(DOMAIN_B))
        assertEquals(setOf(DOMAIN_B), gateway.tables.evacuations.keys)
        assertEquals(setOf(DOMAIN_A), fleet.requestsInParallel(4))
        fleet.readAll()
        assertTrue(gateway.tables.evacuations.isEmpty())
    }

    @Test
    fun `given an evacuation that is lost and written again, then it holds from the second writing on`() {
        fleet.evacuate(DOMAIN_A)
        gateway.applyChanges(StoreChange.EvacuationLifted(DOMAIN_A), StoreChange.DomainEvacuated(DOMAIN_A))
        assertEquals(setOf(DOMAIN_B), fleet.requestsInParallel(4))
    }

    @Test
    fun `given a retry, then it doesn't go to an emptied domain`() {
        fleet.evacuate(DOMAIN_A)
        val number = gateway.receiveCall("/look/x")
        gateway.tick(GatewayInput.AttemptFailed(number, 1, AttemptFailure.ConnectionLost("reset")))
        gateway.advance(2.seconds)
        assertTrue(gateway.sentAttempts().isEmpty())
        assertTrue(gateway.tables.requests.isEmpty())
    }

    @Test
    fun `given a request that was sent, when the domain is emptied before it is retried, then it goes elsewhere`() {
        val number = gateway.receiveCall("/look/x")
        val first = fleet.sentDomains().single()
        fleet.evacuate(first)
        gateway.tick(GatewayInput.AttemptNotSent(number, 1, "refused"))
        assertEquals((PlacedFleet.EITHER - first).toList(), fleet.sentDomains())
    }

    @Test
    fun `given a request under way in a domain that is emptied, then its answer is still passed on`() {
        val number = gateway.receiveCall("/look/x")
        fleet.evacuate(fleet.sentDomains().single())
        gateway.tick(GatewayInput.AnswerCompleted(number, 1))
        assertTrue(gateway.refusals().isEmpty())
        assertTrue(gateway.effects.any { it is GatewayEffect.RemoveRequest })
    }

    @Test
    fun `given a request that waits for a load, when that domain is emptied, then the load moves in the same tick`() {
        val number = gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a9"))
        val asked = assertNotNull(gateway.tables.requests[number]?.loadingUpstream)
        gateway.advance(10.milliseconds)
        fleet.evacuate(domainOf(asked))
        val moved = assertNotNull(gateway.tables.requests[number]?.stage as? RequestStage.Waiting).loadingUpstream
        assertEquals(other(asked), moved)
        val digests = gateway.effects.filterIsInstance<GatewayEffect.SendDemandDigest>().map { it.digest }
        val withdrawn = digests.single { it.upstream == asked }
        assertTrue(withdrawn.isEvacuated && withdrawn.loadRequests.isEmpty())
        val requested = digests.single { it.upstream == other(asked) }
        assertEquals(listOf(AdapterKey(GatewayFixture.MODEL, "a9")), requested.loadRequests.map { it.adapter })
        assertTrue(!requested.isEvacuated)
    }

    @Test
    fun `given an adapter that only the emptied domain holds, then a request waits for its load elsewhere`() {
        gateway.receiveEngineDigest(UpstreamId("engine-2"), resident = emptyMap())
        fleet.evacuate(DOMAIN_A)
        val number = gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        assertTrue(gateway.sentAttempts().isEmpty())
        assertEquals(UpstreamId("engine-2"), gateway.tables.requests[number]?.loadingUpstream)
    }

    @Test
    fun `given that all domains are emptied, then requests are refused at once as not run, with a time to return`() {
        fleet.evacuate(DOMAIN_A)
        fleet.evacuate(DOMAIN_B)
        assertTrue(fleet.logLines().any { "all upstreams are in emptied failure domains" in it })
        gateway.receiveCall("/book/x")
        val refusal = gateway.refusals().single()
        assertEquals(ResultCode.NO_UPSTREAM, refusal.code)
        assertEquals(Execution.NOT_RUN, refusal.execution)
        assertNotNull(refusal.retryAfter)
        assertContains(refusal.detail, "2 in emptied failure domains")
        fleet.lift(DOMAIN_B)
        assertEquals(setOf(DOMAIN_B), fleet.requestsInParallel(2))
    }

    @Test
    fun `given a domain without upstreams or a value that can't be read, then it is logged, shown and in force`() {
        val unknown = FailureDomain("elsewhere")
        fleet.evacuate(unknown, isValueReadable = false)
        assertContains(fleet.logLines().single(), "elsewhere is emptied (its value can't be read): no listed upstream")
        val expected = listOf("elsewhere (no listed upstream, value can't be read)")
        assertEquals(expected, gateway.tables.describeEvacuations())
        assertEquals(PlacedFleet.EITHER, fleet.requestsInParallel(8))
        val moved = fleet.registrations.filter { it.id.value == "desk-1" }.map { it.copy(domain = unknown) }
        moved.forEach { gateway.applyChanges(StoreChange.UpstreamRegistered(it)) }
        assertEquals(setOf("desk-2"), (1..4).map { sendOne() }.toSet())
    }

    @Test
    fun `given an emptied domain, then idle connections there are closed once and one line says what moves`() {
        fleet.evacuate(DOMAIN_A)
        val endpoints = fleet.registrations.filter { it.domain == DOMAIN_A }.map { it.endpoint }.toSet()
        assertEquals(endpoints, gateway.effects.firstNotNullOf { it as? GatewayEffect.CloseIdleConnections }.endpoints)
        assertContains(fleet.logLines().single(), "failure domain a is emptied: 2 upstreams get nothing more")
        fleet.evacuate(DOMAIN_A)
        assertTrue(fleet.logLines().isEmpty())
        assertTrue(gateway.effects.none { it is GatewayEffect.CloseIdleConnections })
    }

    @Test
    fun `given an idle engine in an emptied domain, then the digests to its placer say so, and that it is lifted`() {
        fleet.evacuate(DOMAIN_A)
        gateway.advance(1.seconds)
        assertEquals(setOf(true), evacuationFlags("engine-1"))
        assertEquals(setOf(false), evacuationFlags("engine-2"))
        fleet.lift(DOMAIN_A)
        gateway.advance(1.seconds)
        assertEquals(setOf(false), evacuationFlags("engine-1"))
    }

    @Test
    fun `given a gateway that starts, then it reads evacuations before it serves anything`() {
        val starting = GatewayFixture(readsStore = false)
        val number = starting.receiveCall("/look/x")
        assertTrue(starting.sentAttempts().isEmpty())
        val contents = starting.storeContents().add(0, StoreChange.DomainEvacuated(FailureDomain("zone")))
        starting.tick(GatewayInput.StoreRead(contents, starting.now))
        assertTrue(starting.sentAttempts().isEmpty())
        assertEquals(Execution.NOT_RUN, starting.refusals().single().execution)
        assertTrue(number !in starting.tables.requests)
    }

    private fun evacuationFlags(engine: String): Set<Boolean> =
        gateway.effects.filterIsInstance<GatewayEffect.SendDemandDigest>()
            .filter { it.digest.upstream == UpstreamId(engine) }
            .map { it.digest.isEvacuated }
            .toSet()

    private fun sendOne(): String {
        gateway.receiveCall("/look/x")
        return gateway.sentAttempts().single().upstream.value
    }

    private fun domainOf(upstream: UpstreamId): FailureDomain =
        fleet.registrations.single { it.id == upstream }.domain

    private fun other(engine: UpstreamId): UpstreamId =
        persistentSetOf(UpstreamId("engine-1"), UpstreamId("engine-2")).remove(engine).single()
}
