package org.ragwortbank.node.gateway

import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayIdentity
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.gatewaySchedule
import org.ragwortbank.core.locality.describeEvacuations
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.serving.ClientLimits
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.node.ListenAddresses
import org.ragwortbank.node.NodeProcess
import org.ragwortbank.node.ProcessEventLoop
import org.ragwortbank.node.admin.AdminPages
import org.ragwortbank.node.admin.AdminServer
import org.ragwortbank.node.admin.StatusDocument
import org.ragwortbank.node.datagram.DatagramLink
import org.ragwortbank.node.datagram.DigestCodec
import org.ragwortbank.node.datagram.ReceivedDigest
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.loop.EventLoopTicker
import org.ragwortbank.node.loop.PauseAwareClock
import org.ragwortbank.node.loop.TickTiming
import org.ragwortbank.node.metrics.NodeMetrics
import org.ragwortbank.node.port.BlockReply
import org.ragwortbank.node.port.PlatformPorts
import org.ragwortbank.node.settings.GatewayNodeSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A gateway process. It accepts callers on [callerSocket], relays their requests to upstreams and follows the
 * platform's store.
 */
class GatewayNode(
    private val settings: GatewayNodeSettings,
    private val ports: PlatformPorts,
    private val callerSocket: ListeningSocket,
) : NodeProcess {
    private val process = ProcessEventLoop()
    private val clock = PauseAwareClock()
    private val metrics = NodeMetrics()
    private val store = ports.createStoreClient(process.group, process.loop, settings.storeAddress)
    private val identity = GatewayIdentity(
        settings.name,
        System.currentTimeMillis(),
        settings.isFirstStart,
        FailureDomain(settings.failureDomain),
    )
    private val ticker = EventLoopTicker(
        loop = process.loop,
        schedule = gatewaySchedule(),
        initial = GatewayTables(identity, settings.gateway, startedAt = clock.now()),
        timing = TickTiming(clock::now, ::maxTickInterval),
        observer = metrics,
        perform = ::perform,
    )
    private val dialect = ports.dialect()
    private val observer = LoggingConnectionObserver(metrics)
    private val connections = UpstreamConnections(
        process.loop,
        dialect,
        settings.connectTimeout,
        observer,
        onIdleClosed = { ticker.postDeferred(GatewayInput.IdleConnectionClosed(it)) },
        clock::now,
    )
    private val requests = RequestRegistry(dialect, connections, metrics, clock::now, post = ticker::post)
    private val pressure = AnswerPressure(process.loop, requests, metrics.pressure, ticker::postDeferred, ticker::post)
    private val httpServer = GatewayHttpServer(
        process.group,
        { ticker.tables.config?.limits ?: ClientLimits() },
        requests,
        pressure::sendBufferBytes,
    )
    private val link = DatagramLink(process.group, ::onDigest)
    private val storeWatcher = StoreWatcher(
        process.loop,
        store,
        clock::now,
        readDelay = { ticker.tables.settings.storeReadDelay },
        ticker::post,
    )
    private val streamWriter = StreamStoreWriter(store, clock::now, storeWatcher::refresh, ticker::post)
    private lateinit var membership: Membership

    override fun start(): ListenAddresses {
        val digestEndpoint = link.open(settings.digestAddress.endpoint())
        membership = Membership(process.loop, store, settings.name, digestEndpoint)
        process.run {
            pressure.apply(settings.gateway)
            ticker.start()
            store.observeNewEras {
                storeWatcher.onNewEra()
                membership.onNewEra()
                streamWriter.onNewEra()
            }
            storeWatcher.start()
        }
        httpServer.open(callerSocket)
        val admin = AdminServer(process.group, GatewayPages())
        admin.start(settings.readinessAddress)
        val adminAddress = admin.start(settings.adminAddress)
        process.run { membership.start() }
        val callerAddress = callerSocket.address
        Logs.drain.info(
            "gateway {} started, callers at {}, digests at {}",
            settings.name,
            callerAddress,
            digestEndpoint,
        )
        return ListenAddresses(settings.name, callerAddress, digestEndpoint.address(), adminAddress)
    }

    /** Applies the gateway settings of [changed] to the running process. */
    fun apply(changed: GatewayNodeSettings) =
        process.loop.execute {
            pressure.apply(changed.gateway)
            ticker.post(GatewayInput.SettingsReloaded(changed.gateway))
        }

    override fun stop(requestedAgo: Duration) = process.loop.execute {
        if (!requests.isStopping) {
            requests.isStopping = true
            membership.stop()
            ticker.post(GatewayInput.StopRequested(requestedAgo))
        }
    }

    override fun awaitTermination() = process.awaitTermination()

    private fun perform(effect: GatewayEffect) {
        when (effect) {
            is GatewayEffect.Send -> requests.send(effect.attempt)
            is GatewayEffect.SendDemandDigest ->
                link.send(Endpoint(effect.host, settings.placerDigestPort), DigestCodec.encode(effect.digest))
            is GatewayEffect.SendPeerDigest -> link.sendAll(effect.endpoints, DigestCodec.encode(effect.digest))
            is GatewayEffect.CloseIdleConnections -> effect.endpoints.forEach(connections::closeIdle)
            is GatewayEffect.SaveBlock -> store.saveBlock(effect.trait, ::onBlockReply)
            is GatewayEffect.DropBlock -> store.dropBlock(effect.trait, ::onBlockReply)
            is GatewayEffect.SetReadLimit, is GatewayEffect.CutAnswer -> pressure.perform(effect)
            is GatewayEffect.SaveVersions, is GatewayEffect.SaveStreamRecord -> streamWriter.perform(effect)
            GatewayEffect.RefreshStore -> storeWatcher.refresh()
            is GatewayEffect.Log -> Logs.write(effect.line)
            GatewayEffect.Stopped -> onStopped()
            else -> requests.perform(effect)
        }
    }

    /** The watch of the store shows what it keeps; a failed call is repeated. */
    private fun onBlockReply(reply: BlockReply) {
        if (reply is BlockReply.Failed) Logs.platform.warn("a block was not stored: {}", reply.cause)
    }

    private fun onDigest(digest: ReceivedDigest, sender: Endpoint) {
        when (digest) {
            is ReceivedDigest.Engine -> onEngineDigest(digest.digest)
            is ReceivedDigest.Peer -> ticker.postDeferred(GatewayInput.PeerDigestReceived(digest.digest, sender))
            is ReceivedDigest.Demand, is ReceivedDigest.Malformed -> Unit
        }
    }

    /** An engine's state is only urgent for requests that wait for it. */
    private fun onEngineDigest(digest: EngineDigest) {
        val input = GatewayInput.EngineDigestReceived(digest)
        if (ticker.tables.waiting.isEmpty()) ticker.postDeferred(input) else ticker.post(input)
    }

    private fun maxTickInterval(tables: GatewayTables): Duration =
        when {
            tables.waiting.isNotEmpty() || tables.deferredCalls.isNotEmpty() -> WAITING_INTERVAL
            tables.requests.isNotEmpty() -> BUSY_INTERVAL
            else -> IDLE_INTERVAL
        }

    private fun onStopped() {
        Logs.drain.info("gateway {} stopped with {} requests in progress", settings.name, ticker.tables.requests.size)
        storeWatcher.stop()
        httpServer.closeIdle()
        link.close()
        process.terminateAfterFlush()
    }

    private inner class GatewayPages : AdminPages {
        override fun isReady(): Boolean {
            val tables = ticker.tables
            return !requests.isStopping && tables.config != null && tables.upstreams.values.any { it.isAccepting }
        }

        override fun metricsText(): String {
            metrics.setOpenRequests(ticker.tables.requests.size)
            metrics.setRefusedAndSpared(ticker.tables.blocks.size, ticker.tables.evacuations.size)
            metrics.upstreams.update(ticker.tables)
            pressure.updateMetrics()
            return metrics.toPrometheusText()
        }

        override fun statusJson(): String {
            val tables = ticker.tables
            return StatusDocument(
                name = settings.name,
                role = "gateway",
                configVersion = tables.config?.version,
                requests = tables.requests.size,
                upstreams = tables.upstreams.values.count { it.isAccepting },
                blocked = tables.blocks.keys.map { it.toString() },
                evacuated = tables.describeEvacuations(),
                stopping = requests.isStopping,
            ).toJson()
        }
    }

    private companion object {
        val WAITING_INTERVAL = 20.milliseconds
        val BUSY_INTERVAL = 50.milliseconds
        val IDLE_INTERVAL = 100.milliseconds
    }
}

internal fun Address.endpoint() = Endpoint(host, port)

internal fun Endpoint.address() = Address(host, port)
