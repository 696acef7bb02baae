package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.result.Execution
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RoutingSystemTest {
    private val gateway = GatewayFixture()
    private val first = UpstreamId("engine-1")
    private val second = UpstreamId("engine-2")

    @Test
    fun `given an adapter that one engine holds, then its requests go there`() {
        gateway.tell(first, holds = emptyMap())
        repeat(3) {
            gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a1"))
            assertEquals(second, gateway.sent().single().upstream)
        }
    }

    @Test
    fun `given an adapter that no engine holds, then it is wished for at one and sent there once it holds it`() {
        gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a9"))
        assertTrue(gateway.sent().isEmpty())
        val told = gateway.effects.filterIsInstance<GatewayEffect.SendDemandDigest>()
            .single { it.digest.wishes.isNotEmpty() }.digest
        assertEquals(AdapterKey(GatewayFixture.MODEL, "a9"), told.wishes.single().adapter)
        gateway.tell(told.upstream, holds = mapOf("a9" to 1))
        assertEquals(told.upstream, gateway.sent().single().upstream)
    }

    @Test
    fun `given an engine whose places are all in use, then an adapter is wished for at another`() {
        gateway.tell(first, free = 0)
        repeat(4) { index ->
            gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "b$index"))
            val told = gateway.effects.filterIsInstance<GatewayEffect.SendDemandDigest>().map { it.digest }
            assertEquals(second, told.last { it.wishes.isNotEmpty() }.upstream)
        }
    }

    @Test
    fun `given an adapter that is never loaded, then its request is refused in time and has not run`() {
        gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a9"))
        gateway.after(2_600.milliseconds)
        assertEquals(ResultCode.QUEUE_TIMEOUT, gateway.refusals().single().code)
    }

    @Test
    fun `given a newer version of an adapter, then it is asked for by version and the old one soon not used`() {
        gateway.change(StoreChange.VersionNamed(AdapterKey(GatewayFixture.MODEL, "a1"), 2))
        gateway.after(3.seconds)
        gateway.tell(first)
        gateway.tell(second)
        gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        assertTrue(gateway.sent().isEmpty())
        gateway.tell(first, holds = mapOf("a1" to 2))
        assertEquals(2, gateway.sent().single().adapterVersion)
    }

    @Test
    fun `given a third version that was named just now, then only the second is still used, not the first`() {
        val adapter = AdapterKey(GatewayFixture.MODEL, "a1")
        gateway.change(StoreChange.VersionNamed(adapter, 2))
        gateway.after(3.seconds)
        gateway.tell(first)
        gateway.tell(second, holds = mapOf("a1" to 2))
        gateway.change(StoreChange.VersionNamed(adapter, 3))
        repeat(6) {
            gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a1"))
            assertEquals(second, gateway.sent().single().upstream)
        }
    }

    @Test
    fun `given a newer version that was named just now, then the old one is still used meanwhile`() {
        gateway.change(StoreChange.VersionNamed(AdapterKey(GatewayFixture.MODEL, "a1"), 2))
        gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        assertEquals(null, gateway.sent().single().adapterVersion)
    }

    @Test
    fun `given a process that starts after a version was named, then the old one is not used`() {
        val named = StoreChange.VersionNamed(AdapterKey(GatewayFixture.MODEL, "a1"), 2)
        gateway.tick(GatewayInput.StoreRead(gateway.everything().add(named), gateway.now))
        gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        assertTrue(gateway.sent().isEmpty())
    }

    @Test
    fun `given an engine that started again without its model, then nothing is sent there`() {
        val empty = gateway.registration("engine-2", GatewayFixture.ENGINES, born = 2).copy(models = persistentSetOf())
        gateway.change(StoreChange.UpstreamSeen(empty))
        repeat(3) {
            gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a1"))
            assertEquals(first, gateway.sent().single().upstream)
        }
    }

    @Test
    fun `given an engine that rejects an adapter as missing, then it is not sent there again until it is told`() {
        gateway.tell(second, holds = emptyMap())
        val number = gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        val facts = AnswerFacts(status = 421, notRun = true, load = null)
        gateway.tick(GatewayInput.AnswerHeadReceived(number, 1, facts))
        assertTrue(gateway.sent().isEmpty())
        gateway.after(100.milliseconds)
        assertTrue(gateway.sent().isEmpty())
        gateway.tell(first)
        assertEquals(first, gateway.sent().single().upstream)
    }

    @Test
    fun `given a later incarnation at the place of a listed upstream, then nothing is sent to the earlier one`() {
        gateway.change(StoreChange.UpstreamSeen(gateway.registration("new-desk-1", GatewayFixture.DESK, born = 9)))
        gateway.change(StoreChange.UpstreamSeen(gateway.registration("desk-1", GatewayFixture.DESK)))
        repeat(6) {
            gateway.arrive("/look/x")
            assertTrue(gateway.sent().single().upstream != UpstreamId("desk-1"))
        }
    }

    @Test
    fun `given engines that have lost their base model, then requests are told when it is likely there again`() {
        listOf("engine-1", "engine-2").forEach { id ->
            val empty = gateway.registration(id, GatewayFixture.ENGINES, born = 2).copy(models = persistentSetOf())
            gateway.change(StoreChange.UpstreamSeen(empty))
        }
        val times = listOf(0.seconds, 1.seconds, 5.seconds).map { later ->
            gateway.after(later)
            gateway.confirm()
            gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a1"))
            assertEquals(Execution.NOT_RUN, gateway.refusals().single().execution)
            gateway.refusals().single().retryAfter
        }
        assertEquals(listOf<Duration?>(1_800.milliseconds, 800.milliseconds, 500.milliseconds), times)
        gateway.tell(first)
        gateway.arrive("/chat/x", gateway.call("/chat/x", adapter = "a1"))
        assertEquals(first, gateway.sent().single().upstream)
        assertTrue(gateway.tables.modelMissingSince.isEmpty())
    }

    @Test
    fun `given an upstream that is leaving, then it gets nothing more`() {
        gateway.change(StoreChange.UpstreamSeen(gateway.registration("desk-1", GatewayFixture.DESK, accepting = false)))
        repeat(4) {
            gateway.arrive("/look/x")
            assertEquals(UpstreamId("desk-2"), gateway.sent().single().upstream)
        }
    }

    @Test
    fun `given an upstream that fails, then it is left alone for a while and tried again later`() {
        val number = gateway.arrive("/book/x")
        val failed = gateway.sent().single().upstream
        gateway.tick(GatewayInput.AttemptFailed(number, 1, "reset"))
        gateway.arrive("/book/y")
        assertTrue(gateway.sent().single().upstream != failed)
        gateway.after(500.milliseconds)
        gateway.arrive("/book/z")
        assertEquals(failed, gateway.sent().single().upstream)
    }
}
