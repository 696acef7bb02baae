package org.ragwortbank.core.placer

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.EngineSpec
import org.ragwortbank.core.serving.LoadRequest
import org.ragwortbank.core.serving.ModelSpec
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CommandSystemTest {
    private val schedule = placerSchedule()
    private var now = Timestamp(0) + 10.seconds
    private var tables = PlacerTables("placer-1", incarnation = 1)
    private var effects: List<PlacerEffect> = emptyList()
    private var number = 0L

    @Test
    fun `given a wish, then the adapter is ordered once, at the number of orders that the engine reported`() {
        report(sequence = 7)
        wish("a1")
        val given = orders().single()
        assertEquals(EngineCommand.LoadAdapter(key("a1"), 2), given.order)
        assertEquals(7, given.expected)
        wish("a1")
        assertTrue(orders().isEmpty())
    }

    @Test
    fun `given an order without an answer, then no other is given before a report that was asked for later`() {
        report(sequence = 7)
        wish("a1")
        val askedBefore = now
        after(500.milliseconds, PlacerInput.CommandCompleted(orders().single().number, CommandOutcome.UNKNOWN))
        assertTrue(orders().isEmpty())
        tick(PlacerInput.ReportReceived(engine(sequence = 7), askedBefore))
        assertTrue(orders().isEmpty())
        after(10.milliseconds, PlacerInput.ReportReceived(engine(sequence = 8), now + 5.milliseconds))
        assertEquals(8, orders().single().expected)
    }

    @Test
    fun `given a full engine, then the adapter that was unused longest makes way first`() {
        report(sequence = 1, holds = listOf("a1", "a2"))
        use("a1")
        after(2.seconds)
        use("a2")
        after(1.seconds)
        report(sequence = 1, holds = listOf("a1", "a2"))
        wish("a3")
        assertEquals(EngineCommand.DropAdapter(key("a1")), orders().single().order)
    }

    @Test
    fun `given a full engine with every adapter in use, then nothing is dropped and nothing loaded`() {
        report(sequence = 1, holds = listOf("a1", "a2"))
        tick(PlacerInput.DemandDigestReceived(demand(listOf("a3"), used = listOf("a1", "a2")), from))
        assertTrue(orders().isEmpty())
    }

    @Test
    fun `given adapters in use and unused ones, then the entries are told how many places can take another`() {
        tick(PlacerInput.DemandDigestReceived(demand(emptyList(), used = listOf("a1")), from))
        after(2.seconds, PlacerInput.DemandDigestReceived(demand(emptyList(), used = listOf("a1")), from))
        report(sequence = 1, holds = listOf("a1", "a2"))
        assertEquals(1, effects.filterIsInstance<PlacerEffect.SendEngineDigest>().last().digest.freeSlots)
    }

    @Test
    fun `given an engine without its model, then the model is loaded before any adapter`() {
        tick(PlacerInput.ReportReceived(engine(0).copy(models = persistentSetOf()), now))
        wish("a1")
        assertEquals(EngineCommand.LoadModel("base"), orders().single().order)
    }

    @Test
    fun `given an engine that does not answer, then it is asked again after a pause only`() {
        tick()
        assertEquals(1, effects.count { it is PlacerEffect.RequestReport })
        tick(PlacerInput.ReportFailed("refused"))
        assertTrue(effects.none { it is PlacerEffect.RequestReport })
        after(1.seconds)
        assertEquals(1, effects.count { it is PlacerEffect.RequestReport })
    }

    private fun report(sequence: Long, holds: List<String> = emptyList()) =
        tick(PlacerInput.ReportReceived(engine(sequence, holds), now))

    private fun wish(vararg adapters: String) = tick(PlacerInput.DemandDigestReceived(demand(adapters.toList()), from))

    private fun use(adapter: String) =
        tick(PlacerInput.DemandDigestReceived(demand(emptyList(), listOf(adapter)), from))

    private fun engine(sequence: Long, holds: List<String> = emptyList()) = EngineReport(
        models = persistentSetOf("base"),
        holds = holds.associate { key(it) to 1L }.toPersistentMap(),
        coming = persistentMapOf(),
        sequence = sequence,
        busy = false,
        running = 0,
        queued = 0,
    )

    private fun demand(wishes: List<String>, used: List<String> = emptyList()) = DemandDigest(
        sender = "entry-1",
        incarnation = 1,
        number = ++number,
        upstream = UpstreamId("engine-1"),
        loadRequests = wishes.map { LoadRequest(key(it), 2) }.toPersistentList(),
        inUse = persistentSetOf<AdapterKey>().addAll(used.map(::key)),
        engine = EngineSpec(persistentMapOf("base" to ModelSpec("base", 70.0, 1.0)), 76.0, adapterSlots = 2),
    )

    private fun key(adapter: String) = AdapterKey("base", adapter)

    private fun orders() = effects.filterIsInstance<PlacerEffect.SendCommand>()

    private fun tick(vararg inputs: PlacerInput) {
        val step = schedule.run(Tick(now, inputs.toList().toPersistentList()), tables)
        tables = step.tables
        effects = step.effects
    }

    private fun after(time: Duration, vararg inputs: PlacerInput) {
        now += time
        tick(*inputs)
    }

    private companion object {
        val from = Endpoint("10.0.0.1", 7600)
    }
}
