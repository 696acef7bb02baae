package org.ragwortbank.core.placer

import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.DemandDigest
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReportSystemTest {
    private val schedule = placerSchedule()
    private var now = Timestamp(0) + 10.seconds
    private var tables = PlacerTables("placer-1", incarnation = 1)
    private var reachabilityLogLines = 0

    @Test
    fun `given an engine loading its base model, then reports are requested often to see the end of the load soon`() {
        val reply = PlacerInput.ReportReceived(engineReport(isLoadingModel = true), now)
        tick(reply)
        assertEquals(6, reportRequestsWithin(200.milliseconds, reply))
    }

    @Test
    fun `given an idle engine, then reports are requested at the long interval`() {
        val reply = PlacerInput.ReportReceived(engineReport(isLoadingModel = false), now)
        tick(reply)
        assertEquals(2, reportRequestsWithin(1_100.milliseconds, reply))
    }

    @Test
    fun `given an engine that does not answer yet, then reports are requested at the short interval`() {
        tick()
        assertEquals(2, reportRequestsWithin(250.milliseconds, PlacerInput.ReportFailed("no connection")))
    }

    @Test
    fun `given an engine that becomes unreachable and recovers, then each change is logged once`() {
        tick(PlacerInput.ReportReceived(engineReport(isLoadingModel = false), now))
        assertEquals(1, reachabilityLogLines)
        repeat(3) { tick(PlacerInput.ReportFailed("no connection")) }
        assertEquals(2, reachabilityLogLines)
        repeat(3) { tick(PlacerInput.ReportReceived(engineReport(isLoadingModel = false), now)) }
        assertEquals(3, reachabilityLogLines)
    }

    // Guards against a restarted gateway that gets no adapter loaded, because its demand is ignored for good.
    @Test
    fun `given a gateway that restarts with its clock set back, then its demand counts after a silence`() {
        val before = DemandDigest("entry-1", incarnation = 5_000, number = 9, upstream = UpstreamId("engine-1"))
        val after = before.copy(incarnation = 3_000, number = 1)
        tick(PlacerInput.DemandDigestReceived(before, gatewayEndpoint))
        now += 300.milliseconds
        tick(PlacerInput.DemandDigestReceived(after, gatewayEndpoint))
        assertEquals(before, tables.gateways.getValue("entry-1").demand)
        now += 1.seconds
        tick(PlacerInput.DemandDigestReceived(after, gatewayEndpoint))
        assertEquals(after, tables.gateways.getValue("entry-1").demand)
    }

    /** The number of report requests within [duration], each answered with [reply]. */
    private fun reportRequestsWithin(duration: Duration, reply: PlacerInput): Int {
        val end = now + duration
        var requests = 0
        tick(reply)
        while (end - now > TICK_INTERVAL) {
            now += TICK_INTERVAL
            if (tick()) {
                requests++
                tick(reply)
            }
        }
        return requests
    }

    private fun tick(vararg inputs: PlacerInput): Boolean {
        val step = schedule.run(Tick(now, inputs.toList().toPersistentList()), tables)
        tables = step.tables
        reachabilityLogLines += step.effects.count { it is PlacerEffect.Log && it.line.part == LogPart.PLATFORM }
        return step.effects.any { it == PlacerEffect.RequestReport }
    }

    private fun engineReport(isLoadingModel: Boolean) = EngineReport(
        residentModels = persistentSetOf(),
        resident = persistentMapOf(),
        loading = persistentMapOf(),
        startedMillis = 1_000,
        commandSequence = 1,
        isLoadingModel = isLoadingModel,
        runningRequests = 0,
        queuedRequests = 0,
    )

    private companion object {
        val TICK_INTERVAL = 10.milliseconds
        val gatewayEndpoint = Endpoint("10.0.0.1", 7600)
    }
}
