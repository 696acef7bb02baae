package org.ragwortbank.core.placer

import kotlinx.collections.immutable.persistentListOf
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
    private var digestNumber = 0L

    @Test
    fun `given a load request, then one load command is sent with the command sequence that the engine reported`() {
        receiveReport(sequence = 7)
        requestLoad("a1")
        val sent = commands().single()
        assertEquals(EngineCommand.LoadAdapter(adapterKey("a1"), 2), sent.command)
        assertEquals(7, sent.expectedSequence)
        requestLoad("a1")
        assertTrue(commands().isEmpty())
    }

    @Test
    fun `given a command without an answer, then no other is sent before a report that was requested later`() {
        receiveReport(sequence = 7)
        requestLoad("a1")
        val earlierRequestAt = now
        tickAfter(500.milliseconds, PlacerInput.CommandCompleted(commands().single().number, CommandOutcome.UNKNOWN))
        assertTrue(commands().isEmpty())
        tick(PlacerInput.ReportReceived(engineReport(sequence = 7), earlierRequestAt))
        assertTrue(commands().isEmpty())
        tickAfter(10.milliseconds, PlacerInput.ReportReceived(engineReport(sequence = 8), now + 5.milliseconds))
        assertEquals(8, commands().single().expectedSequence)
    }

    @Test
    fun `given requests of different ranks, then the adapter of the most urgent is loaded first`() {
        receiveReport(sequence = 7)
        requestLoads(
            LoadRequest(adapterKey("many"), 2, requestCount = 9, rank = 2),
            LoadRequest(adapterKey("urgent"), 2, rank = 0),
        )
        assertEquals(EngineCommand.LoadAdapter(adapterKey("urgent"), 2), commands().single().command)
    }

    @Test
    fun `given a less urgent request that has waited for long, then its adapter goes before that of an urgent one`() {
        receiveReport(sequence = 7)
        requestLoads(
            LoadRequest(adapterKey("urgent"), 2, requestCount = 9, rank = 0),
            LoadRequest(adapterKey("starved"), 2, waitingTime = 1_700.milliseconds, rank = 2),
        )
        assertEquals(EngineCommand.LoadAdapter(adapterKey("starved"), 2), commands().single().command)
    }

    @Test
    fun `given gateways that say no rank, then the adapter that most requests wait for is loaded first`() {
        receiveReport(sequence = 7)
        requestLoads(LoadRequest(adapterKey("one"), 2), LoadRequest(adapterKey("many"), 2, requestCount = 9))
        assertEquals(EngineCommand.LoadAdapter(adapterKey("many"), 2), commands().single().command)
    }

    // Guards against fencing tokens that go back when the clock was set back before a placer was started again.
    @Test
    fun `given a placer that is started again with its clock set back, then its fencing token is not lower`() {
        restartPlacer(incarnation = 358_266)
        receiveReport(sequence = 7)
        requestLoad("a1")
        val earlierToken = commands().single().fencingToken
        restartPlacer(incarnation = 357_965)
        receiveReport(sequence = 8)
        requestLoad("a2")
        assertTrue(commands().single().fencingToken >= earlierToken)
    }

    @Test
    fun `given an engine that is started again, then the fencing token rises and stays until the next start`() {
        receiveReport(sequence = 900)
        requestLoad("a1")
        val earlierToken = commands().single().fencingToken
        tick(PlacerInput.CommandCompleted(commands().single().number, CommandOutcome.REFUSED))
        tickAfter(1.seconds, PlacerInput.ReportReceived(engineReport(0).copy(startedMillis = 3_000), now + 1.seconds))
        val laterToken = commands().single().fencingToken
        assertTrue(laterToken > earlierToken)
        tick(PlacerInput.CommandCompleted(commands().single().number, CommandOutcome.ACCEPTED))
        requestLoad("a2")
        assertEquals(laterToken, commands().single().fencingToken)
    }

    @Test
    fun `given an engine that doesn't say when it started, when its sequence falls, then the fencing token follows`() {
        tick(PlacerInput.ReportReceived(engineReport(40).copy(startedMillis = 0), now))
        assertEquals(41, tables.fence?.token)
        tickAfter(1.seconds, PlacerInput.ReportReceived(engineReport(0).copy(startedMillis = 0), now + 1.seconds))
        assertEquals(1, tables.fence?.token)
    }

    @Test
    fun `given a full engine, then the least recently used adapter is dropped first`() {
        receiveReport(sequence = 1, resident = listOf("a1", "a2"))
        useAdapter("a1")
        tickAfter(2.seconds)
        useAdapter("a2")
        tickAfter(1.seconds)
        receiveReport(sequence = 1, resident = listOf("a1", "a2"))
        requestLoad("a3")
        assertEquals(EngineCommand.DropAdapter(adapterKey("a1")), commands().single().command)
    }

    @Test
    fun `given a gateway that says the failure domain is emptied, then no command is sent until all say otherwise`() {
        receiveReport(sequence = 7)
        val evacuated = demandDigest(emptyList()).copy(sender = "gateway-2", isEvacuated = true)
        tick(PlacerInput.DemandDigestReceived(evacuated, gatewayEndpoint))
        requestLoad("a1")
        assertTrue(commands().isEmpty())
        val lifted = evacuated.copy(number = evacuated.number + 1, isEvacuated = false)
        tick(PlacerInput.DemandDigestReceived(lifted, gatewayEndpoint))
        assertEquals(EngineCommand.LoadAdapter(adapterKey("a1"), 2), commands().single().command)
    }

    @Test
    fun `given a gateway that was lost after it said so, then commands are sent after a while`() {
        receiveReport(sequence = 7)
        val evacuated = demandDigest(emptyList()).copy(sender = "gateway-2", isEvacuated = true)
        tick(PlacerInput.DemandDigestReceived(evacuated, gatewayEndpoint))
        tickAfter(6.seconds)
        receiveReport(sequence = 7)
        requestLoad("a1")
        assertEquals(1, commands().size)
    }

    @Test
    fun `given several load requests, then the adapter that most requests wait for is loaded first`() {
        receiveReport(sequence = 1)
        val demand = demandDigest(emptyList()).copy(
            loadRequests = persistentListOf(
                LoadRequest(adapterKey("a1"), 1, requestCount = 1, waitingTime = 300.milliseconds),
                LoadRequest(adapterKey("a2"), 1, requestCount = 3, waitingTime = 100.milliseconds),
            ),
        )
        tick(PlacerInput.DemandDigestReceived(demand, gatewayEndpoint))
        assertEquals(EngineCommand.LoadAdapter(adapterKey("a2"), 1), commands().single().command)
    }

    @Test
    fun `given an adapter that a request has waited for too long, then it goes before more popular ones`() {
        receiveReport(sequence = 1)
        val demand = demandDigest(emptyList()).copy(
            loadRequests = persistentListOf(
                LoadRequest(adapterKey("a2"), 1, requestCount = 3, waitingTime = 100.milliseconds),
                LoadRequest(adapterKey("a1"), 1, requestCount = 1, waitingTime = 900.milliseconds),
            ),
        )
        tick(PlacerInput.DemandDigestReceived(demand, gatewayEndpoint))
        assertEquals(EngineCommand.LoadAdapter(adapterKey("a1"), 1), commands().single().command)
    }

    @Test
    fun `given a full engine with every adapter in use, then no adapter is dropped or loaded`() {
        receiveReport(sequence = 1, resident = listOf("a1", "a2"))
        tick(PlacerInput.DemandDigestReceived(demandDigest(listOf("a3"), inUse = listOf("a1", "a2")), gatewayEndpoint))
        assertTrue(commands().isEmpty())
    }

    // Guards against an engine that loads more than it holds, because a size can't be read and counts as none.
    @Test
    fun `given a loaded base model whose size isn't known, then no adapter is loaded beside it`() {
        val models = persistentSetOf("base", "other")
        tick(PlacerInput.ReportReceived(engineReport(1).copy(residentModels = models), now))
        requestLoad("a1")
        assertTrue(commands().isEmpty())
    }

    @Test
    fun `given adapters in use and an unused one, then the digest counts the slot of the unused one as free`() {
        tick(PlacerInput.DemandDigestReceived(demandDigest(emptyList(), inUse = listOf("a1")), gatewayEndpoint))
        tickAfter(
            2.seconds,
            PlacerInput.DemandDigestReceived(demandDigest(emptyList(), inUse = listOf("a1")), gatewayEndpoint),
        )
        receiveReport(sequence = 1, resident = listOf("a1", "a2"))
        assertEquals(1, effects.filterIsInstance<PlacerEffect.SendEngineDigest>().last().digest.freeSlots)
    }

    @Test
    fun `given an engine without its base model, then the model is loaded before any adapter`() {
        tick(PlacerInput.ReportReceived(engineReport(0).copy(residentModels = persistentSetOf()), now))
        requestLoad("a1")
        assertEquals(EngineCommand.LoadModel("base"), commands().single().command)
    }

    @Test
    fun `given an engine that does not answer, then the next report is requested only after an interval`() {
        tick()
        assertEquals(1, effects.count { it is PlacerEffect.RequestReport })
        tick(PlacerInput.ReportFailed("refused"))
        assertTrue(effects.none { it is PlacerEffect.RequestReport })
        tickAfter(1.seconds)
        assertEquals(1, effects.count { it is PlacerEffect.RequestReport })
    }

    private fun restartPlacer(incarnation: Long) {
        now += 3.seconds
        tables = PlacerTables("placer-1", incarnation)
    }

    private fun receiveReport(sequence: Long, resident: List<String> = emptyList()) =
        tick(PlacerInput.ReportReceived(engineReport(sequence, resident), now))

    private fun requestLoad(vararg adapters: String) =
        tick(PlacerInput.DemandDigestReceived(demandDigest(adapters.toList()), gatewayEndpoint))

    private fun requestLoads(vararg requests: LoadRequest) {
        val digest = demandDigest(emptyList()).copy(loadRequests = requests.toList().toPersistentList())
        tick(PlacerInput.DemandDigestReceived(digest, gatewayEndpoint))
    }

    private fun useAdapter(adapter: String) =
        tick(PlacerInput.DemandDigestReceived(demandDigest(emptyList(), listOf(adapter)), gatewayEndpoint))

    private fun engineReport(sequence: Long, resident: List<String> = emptyList()) = EngineReport(
        residentModels = persistentSetOf("base"),
        resident = resident.associate { adapterKey(it) to 1L }.toPersistentMap(),
        loading = persistentMapOf(),
        startedMillis = 1_000,
        commandSequence = sequence,
        isLoadingModel = false,
        runningRequests = 0,
        queuedRequests = 0,
    )

    private fun demandDigest(requested: List<String>, inUse: List<String> = emptyList()) = DemandDigest(
        sender = "entry-1",
        incarnation = 1,
        number = ++digestNumber,
        upstream = UpstreamId("engine-1"),
        loadRequests = requested.map { LoadRequest(adapterKey(it), 2) }.toPersistentList(),
        inUse = persistentSetOf<AdapterKey>().addAll(inUse.map(::adapterKey)),
        engine = EngineSpec(persistentMapOf("base" to ModelSpec("base", 70.0, 1.0)), 76.0, adapterSlots = 2),
    )

    private fun adapterKey(adapter: String) = AdapterKey("base", adapter)

    private fun commands() = effects.filterIsInstance<PlacerEffect.SendCommand>()

    private fun tick(vararg inputs: PlacerInput) {
        val step = schedule.run(Tick(now, inputs.toList().toPersistentList()), tables)
        tables = step.tables
        effects = step.effects
    }

    private fun tickAfter(delay: Duration, vararg inputs: PlacerInput) {
        now += delay
        tick(*inputs)
    }

    private companion object {
        val gatewayEndpoint = Endpoint("10.0.0.1", 7600)
    }
}
