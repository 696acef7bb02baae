package org.ragwortbank.core.gateway

import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class DemandSystemTest {
    private val gateway = GatewayFixture()
    private val first = UpstreamId("engine-1")
    private val adapter = AdapterKey(GatewayFixture.MODEL, "a1")

    @Test
    fun `given a small fleet, then each placer gets a digest every half second`() {
        assertEquals(20, digestsWithin(10.seconds).count { it.upstream == first })
    }

    @Test
    fun `given many gateways, then a placer whose engine is not in use gets as many digests as of a few gateways`() {
        listGateways(31)
        val digests = digestsWithin(40.seconds).count { it.upstream == first }
        assertTrue(digests * 32 <= 40 * 8 * 1.3, "$digests digests of each of 32 gateways in 40 s")
    }

    @Test
    fun `given many gateways, when an engine is used, then its placer learns of it at once and of its end soon`() {
        listGateways(31)
        gateway.receiveEngineDigest(UpstreamId("engine-2"), resident = emptyMap())
        gateway.advance(700.milliseconds)
        val number = gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        assertEquals(first, gateway.sentAttempts().singleOrNull()?.upstream, "refusals: ${gateway.refusals()}")
        val begin = digestsWithin(200.milliseconds).filter { it.upstream == first }
        assertEquals(setOf(adapter), begin.first().inUse)
        gateway.tick(GatewayInput.AnswerCompleted(number, 1))
        val end = digestsWithin(1_500.milliseconds).filter { it.upstream == first }
        assertTrue(end.last().inUse.isEmpty(), "digests after the request: $end")
    }

    @Test
    fun `given a request that ends between two digests, then the next digest still names its adapter`() {
        gateway.receiveEngineDigest(UpstreamId("engine-2"), resident = emptyMap())
        digestsWithin(500.milliseconds)
        val number = gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        gateway.tick(GatewayInput.AnswerCompleted(number, 1))
        val digests = digestsWithin(600.milliseconds).filter { it.upstream == first }
        assertEquals(setOf(adapter), digests.first().inUse)
    }

    @Test
    fun `given an engine in use and others, then digests of those are requested less often`() {
        repeat(40) {
            val engine = gateway.registration("e-$it", GatewayFixture.ENGINES)
            gateway.applyChanges(StoreChange.UpstreamRegistered(engine))
        }
        gateway.receiveEngineDigest(first)
        gateway.receiveEngineDigest(UpstreamId("engine-2"), resident = emptyMap())
        gateway.receiveCall("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        val digests = digestsWithin(5.seconds)
        val inUse = digests.last { it.upstream == first }.digestInterval
        val idle = digests.last { it.upstream == UpstreamId("e-7") }.digestInterval
        assertTrue(inUse <= 1.seconds && idle >= 2.seconds, "in use: $inUse, idle: $idle")
        assertTrue(gateway.tables.engineDigestLifetime >= idle * 2)
    }

    private fun listGateways(count: Int) =
        (2..count + 1).forEach {
            gateway.applyChanges(StoreChange.PeerRegistered("entry-$it", Endpoint("10.0.1.$it", 7600)))
        }

    private fun digestsWithin(time: Duration): List<DemandDigest> {
        gateway.advance(time)
        return gateway.effects.filterIsInstance<GatewayEffect.SendDemandDigest>().map { it.digest }
    }
}
