package org.ragwortbank.node.placer

import org.ragwortbank.core.placer.PlacerEffect
import org.ragwortbank.core.placer.PlacerInput
import org.ragwortbank.core.placer.PlacerTables
import org.ragwortbank.core.placer.placerSchedule
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.node.NodeProcess
import org.ragwortbank.node.Ready
import org.ragwortbank.node.SingleLoop
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
import org.ragwortbank.node.loop.Pace
import org.ragwortbank.node.loop.PauseAwareClock
import org.ragwortbank.node.metrics.NodeMetrics
import org.ragwortbank.node.port.PlatformPorts
import org.ragwortbank.node.port.ReportReply
import org.ragwortbank.node.settings.PlacerNodeSettings
import kotlin.time.Duration.Companion.milliseconds

/** A placer process: gives the engine beside it its orders and tells the entries what it holds. */
class PlacerNode(
    private val settings: PlacerNodeSettings,
    ports: PlatformPorts,
) : NodeProcess {
    private val process = SingleLoop()
    private val clock = PauseAwareClock()
    private val metrics = NodeMetrics()
    private val engine = ports.createEngineClient(process.group, process.loop, settings.engineAddress, settings.name)
    private val ticker = EventLoopTicker(
        loop = process.loop,
        schedule = placerSchedule(),
        initial = PlacerTables(settings.name, System.currentTimeMillis()),
        pace = Pace(clock::now) { if (it.isLoading) BUSY_INTERVAL else IDLE_INTERVAL },
        observer = metrics,
        perform = ::perform,
    )
    private val link = DatagramLink(process.group, ::hear)

    override fun start(): Ready {
        val admin = AdminServer(process.group, Pages()).start(settings.adminAddress)
        val digests = link.open(settings.digestAddress.endpoint())
        process.run { ticker.start() }
        val engineAddress = settings.engineAddress
        Logs.drain.info("placer {} started, digests at {}, engine at {}", settings.name, digests, engineAddress)
        return Ready(settings.name, null, digests.address(), admin)
    }

    override fun stop() = process.loop.execute { ticker.post(PlacerInput.StopRequested) }

    override fun awaitEnd() = process.awaitEnd()

    private fun perform(effect: PlacerEffect) {
        when (effect) {
            PlacerEffect.RequestReport -> askReport()
            is PlacerEffect.SendCommand ->
                engine.send(effect) { ticker.post(PlacerInput.CommandCompleted(effect.number, it)) }
            is PlacerEffect.SendEngineDigest -> link.send(effect.endpoint, DigestCodec.encode(effect.digest))
            is PlacerEffect.Log -> Logs.write(effect.line)
            PlacerEffect.Stopped -> ended()
        }
    }

    private fun askReport() {
        val askedAt = clock.now()
        engine.fetchReport { reply ->
            val input = when (reply) {
                is ReportReply.Report -> PlacerInput.ReportReceived(reply.report, askedAt)
                is ReportReply.Failed -> PlacerInput.ReportFailed(reply.cause)
            }
            ticker.post(input)
        }
    }

    private fun hear(digest: ReceivedDigest, from: Endpoint) {
        if (digest is ReceivedDigest.Demand) ticker.post(PlacerInput.DemandDigestReceived(digest.digest, from))
    }

    private fun ended() {
        Logs.drain.info("placer {} stopped", settings.name)
        link.close()
        process.end()
    }

    private inner class Pages : AdminPages {
        override fun ready(): Boolean = ticker.tables.report != null

        override fun metrics(): String = metrics.text()

        override fun status(): String {
            val tables = ticker.tables
            return StatusDocument(
                name = settings.name,
                role = "placer",
                requests = tables.report?.runningRequests ?: 0,
                adapters = tables.report?.resident?.keys.orEmpty().map { it.toString() },
                stopping = tables.isStopping,
            ).text()
        }
    }

    private companion object {
        val BUSY_INTERVAL = 20.milliseconds
        val IDLE_INTERVAL = 100.milliseconds
    }
}
