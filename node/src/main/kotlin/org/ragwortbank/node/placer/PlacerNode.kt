package org.ragwortbank.node.placer

import org.ragwortbank.core.placer.PlacerEffect
import org.ragwortbank.core.placer.PlacerInput
import org.ragwortbank.core.placer.PlacerTables
import org.ragwortbank.core.placer.placerSchedule
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.node.ListenAddresses
import org.ragwortbank.node.NodeProcess
import org.ragwortbank.node.ProcessEventLoop
import org.ragwortbank.node.admin.AdminPages
import org.ragwortbank.node.admin.AdminServer
import org.ragwortbank.node.admin.StatusDocument
import org.ragwortbank.node.datagram.DatagramLink
import org.ragwortbank.node.datagram.DigestCodec
import org.ragwortbank.node.datagram.ReceivedDigest
import org.ragwortbank.node.gateway.address
import org.ragwortbank.node.gateway.endpoint
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.loop.EventLoopTicker
import org.ragwortbank.node.loop.PauseAwareClock
import org.ragwortbank.node.loop.TickTiming
import org.ragwortbank.node.metrics.NodeMetrics
import org.ragwortbank.node.port.PlatformPorts
import org.ragwortbank.node.port.ReportReply
import org.ragwortbank.node.settings.PlacerNodeSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A placer process: sends commands to its engine, and digests of the engine's state to the gateways. */
class PlacerNode(
    private val settings: PlacerNodeSettings,
    ports: PlatformPorts,
) : NodeProcess {
    private val process = ProcessEventLoop()
    private val clock = PauseAwareClock()
    private val metrics = NodeMetrics()
    private val engine = ports.createEngineClient(process.group, process.loop, settings.engineAddress, settings.name)
    private val ticker = EventLoopTicker(
        loop = process.loop,
        schedule = placerSchedule(),
        initial = PlacerTables(settings.name, System.currentTimeMillis()),
        timing = TickTiming(clock::now) { if (it.isLoading) LOADING_TICK_INTERVAL else IDLE_TICK_INTERVAL },
        observer = metrics,
        perform = ::perform,
    )
    private val digestLink = DatagramLink(process.group, ::onDigest)

    override fun start(): ListenAddresses {
        val adminAddress = AdminServer(process.group, PlacerAdminPages()).start(settings.adminAddress)
        val digestEndpoint = digestLink.open(settings.digestAddress.endpoint())
        process.run { ticker.start() }
        val engineAddress = settings.engineAddress
        Logs.drain.info("placer {} started, digests at {}, engine at {}", settings.name, digestEndpoint, engineAddress)
        return ListenAddresses(settings.name, null, digestEndpoint.address(), adminAddress)
    }

    override fun stop(requestedAgo: Duration) = process.loop.execute { ticker.post(PlacerInput.StopRequested) }

    override fun awaitTermination() = process.awaitTermination()

    private fun perform(effect: PlacerEffect) {
        when (effect) {
            PlacerEffect.RequestReport -> requestReport()
            is PlacerEffect.SendCommand ->
                engine.send(effect) { ticker.post(PlacerInput.CommandCompleted(effect.number, it)) }
            is PlacerEffect.SendEngineDigest -> digestLink.sendAll(effect.endpoints, DigestCodec.encode(effect.digest))
            is PlacerEffect.Log -> Logs.write(effect.line)
            PlacerEffect.Stopped -> onStopped()
        }
    }

    private fun requestReport() {
        val requestedAt = clock.now()
        engine.fetchReport { reply ->
            val input = when (reply) {
                is ReportReply.Report -> PlacerInput.ReportReceived(reply.report, requestedAt)
                is ReportReply.Failed -> PlacerInput.ReportFailed(reply.cause)
            }
            ticker.post(input)
        }
    }

    private fun onDigest(digest: ReceivedDigest, sender: Endpoint) {
        if (digest !is ReceivedDigest.Demand) return
        val input = PlacerInput.DemandDigestReceived(digest.digest, sender)
        if (digest.digest.loadRequests.isEmpty()) ticker.postDeferred(input) else ticker.post(input)
    }

    private fun onStopped() {
        Logs.drain.info("placer {} stopped", settings.name)
        digestLink.close()
        process.terminateAfterFlush()
    }

    private inner class PlacerAdminPages : AdminPages {
        override fun isReady(): Boolean = ticker.tables.report != null

        override fun metricsText(): String {
            metrics.engine.setTokenMillis(ticker.tables.speed.millisPerToken(clock.now()) ?: 0.0)
            return metrics.toPrometheusText()
        }

        override fun statusJson(): String {
            val tables = ticker.tables
            return StatusDocument(
                name = settings.name,
                role = "placer",
                requests = tables.report?.runningRequests ?: 0,
                adapters = tables.report?.resident?.keys.orEmpty().map { it.toString() },
                stopping = tables.isStopping,
            ).toJson()
        }
    }

    private companion object {
        val LOADING_TICK_INTERVAL = 20.milliseconds
        val IDLE_TICK_INTERVAL = 100.milliseconds
    }
}
