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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EngineDigestSystemTest {
    private val schedule = placerSchedule()
    private var now = Timestamp(0) + 10.seconds
    private var tables = PlacerTables("placer-1", incarnation = 1)
    private var recipients = persistentListOf<Endpoint>()
    private var allRecipients = persistentListOf<Endpoint>()
    private var digestNumber = 0L

    @Test
    fun `given gateways that ask for different intervals, then each gets digests at its own`() {
        receiveReport()
        receiveDemand(Demand("quick", interval = 400.milliseconds))
        receiveDemand(Demand("slow", interval = 2.seconds))
        val received = recipientsWithin(8.seconds, mapOf("quick" to 400.milliseconds, "slow" to 2.seconds))
        assertEquals(20, received.count { it == endpointOf("quick") })
        assertEquals(4, received.count { it == endpointOf("slow") })
    }

    @Test
    fun `given an adapter that one gateway awaits, when it is loaded, then only that gateway learns of it at once`() {
        receiveReport()
        receiveDemand(Demand("idle"))
        receiveDemand(Demand("waiting", requested = listOf("a1")))
        tick(PlacerInput.CommandCompleted(tables.lastCommandNumber, CommandOutcome.ACCEPTED))
        assertEquals(listOf(endpointOf("waiting")), recipients)
        tickAfter(10.milliseconds)
        receiveReport(resident = listOf("a1"))
        assertEquals(listOf(endpointOf("waiting")), recipients)
    }

    @Test
    fun `given an adapter in use, when it is dropped, then the gateway that uses it learns of it at once`() {
        receiveReport(resident = listOf("a1", "a2"))
        receiveDemand(Demand("user", inUse = listOf("a1")))
        receiveDemand(Demand("idle"))
        tickAfter(10.milliseconds)
        receiveReport(resident = listOf("a2"))
        assertEquals(listOf(endpointOf("user")), recipients)
    }

    @Test
    fun `given a gateway that requests a resident adapter again, then it gets another digest in case one was lost`() {
        receiveReport(resident = listOf("a1"))
        receiveDemand(Demand("waiting", requested = listOf("a1")))
        assertEquals(listOf(endpointOf("waiting")), recipients)
        tickAfter(10.milliseconds)
        assertEquals(emptyList(), recipients)
        receiveDemand(Demand("waiting", requested = listOf("a1")))
        assertEquals(listOf(endpointOf("waiting")), recipients)
    }

    @Test
    fun `given a base model that is lost, then all gateways learn of it at once`() {
        receiveReport()
        receiveDemand(Demand("one"))
        receiveDemand(Demand("two"))
        tickAfter(10.milliseconds)
        tick(PlacerInput.ReportReceived(report(emptyList()).copy(residentModels = persistentSetOf()), now))
        assertEquals(listOf(endpointOf("one"), endpointOf("two")), recipients)
    }

    @Test
    fun `given a gateway that restarted, then it gets a digest at once`() {
        receiveReport()
        receiveDemand(Demand("one"))
        tickAfter(10.milliseconds)
        receiveDemand(Demand("one", incarnation = 2))
        assertEquals(listOf(endpointOf("one")), recipients)
    }

    @Test
    fun `given gateways that name different incarnations of the engine, then digests name the one that started last`() {
        receiveReport()
        receiveDemand(Demand("informed", upstream = "engine-new", upstreamStartedMillis = 2_000))
        repeat(3) {
            receiveDemand(Demand("outdated", upstream = "engine-old", upstreamStartedMillis = 1_000))
            assertEquals(UpstreamId("engine-new"), tables.upstream)
        }
    }

    private fun recipientsWithin(time: Duration, intervals: Map<String, Duration>): List<Endpoint> {
        val before = allRecipients.size
        repeat((time / TICK).toInt()) { index ->
            tickAfter(TICK)
            if (index % DEMAND_TICKS == 0) {
                intervals.forEach { (name, interval) -> receiveDemand(Demand(name, interval = interval)) }
            }
        }
        return allRecipients.drop(before)
    }

    private fun receiveReport(resident: List<String> = emptyList()) =
        tick(PlacerInput.ReportReceived(report(resident), now))

    private fun report(resident: List<String>) = EngineReport(
        residentModels = persistentSetOf("base"),
        resident = resident.associate { AdapterKey("base", it) to 1L }.toPersistentMap(),
        loading = persistentMapOf(),
        startedMillis = 1_000,
        commandSequence = 1,
        isLoadingModel = false,
        runningRequests = 0,
        queuedRequests = 0,
    )

    private fun receiveDemand(demand: Demand) {
        val digest = DemandDigest(
            sender = demand.gateway,
            incarnation = demand.incarnation,
            number = ++digestNumber,
            upstream = UpstreamId(demand.upstream),
            upstreamStartedMillis = demand.upstreamStartedMillis,
            digestInterval = demand.interval,
            loadRequests = demand.requested.map { LoadRequest(AdapterKey("base", it), 1) }.toPersistentList(),
            inUse = persistentSetOf<AdapterKey>().addAll(demand.inUse.map { AdapterKey("base", it) }),
            engine = EngineSpec(persistentMapOf("base" to ModelSpec("base", 70.0, 1.0)), 76.0, adapterSlots = 4),
        )
        tick(PlacerInput.DemandDigestReceived(digest, endpointOf(demand.gateway)))
    }

    private fun endpointOf(gateway: String) = Endpoint(gateway, 1)

    private fun tick(vararg inputs: PlacerInput) {
        val step = schedule.run(Tick(now, inputs.toList().toPersistentList()), tables)
        tables = step.tables
        recipients = step.effects.filterIsInstance<PlacerEffect.SendEngineDigest>()
            .flatMap { it.endpoints }
            .toPersistentList()
        allRecipients = allRecipients.addAll(recipients)
    }

    private fun tickAfter(delay: Duration, vararg inputs: PlacerInput) {
        now += delay
        tick(*inputs)
    }

    private data class Demand(
        val gateway: String,
        val requested: List<String> = emptyList(),
        val inUse: List<String> = emptyList(),
        val interval: Duration = 1.seconds,
        val incarnation: Long = 1,
        val upstream: String = "engine-1",
        val upstreamStartedMillis: Long = 1,
    )

    private companion object {
        val TICK = 10.milliseconds
        const val DEMAND_TICKS = 50
    }
}
