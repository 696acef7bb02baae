package org.ragwortbank.node.sidecar

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.clients.fencing.FencingStore
import org.ragwortbank.clients.upstream.RunListener
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.Usage
import org.ragwortbank.core.sidecar.AdapterState
import org.ragwortbank.core.sidecar.LinkId
import org.ragwortbank.core.sidecar.RunFailure
import org.ragwortbank.core.sidecar.SidecarEffect
import org.ragwortbank.core.sidecar.SidecarInput
import org.ragwortbank.core.sidecar.SidecarTables
import org.ragwortbank.core.sidecar.sidecarSchedule
import org.ragwortbank.node.ListenAddresses
import org.ragwortbank.node.NodeProcess
import org.ragwortbank.node.NodeRuntime
import org.ragwortbank.node.PendingWrites
import org.ragwortbank.node.admin.AdminPages
import org.ragwortbank.node.admin.AdminServer
import org.ragwortbank.node.admin.StatusDocument
import org.ragwortbank.node.link.IncomingLinkListener
import org.ragwortbank.node.link.PeerConnection
import org.ragwortbank.node.link.PeerServer
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.loop.TickLoop
import org.ragwortbank.node.metrics.BadInput
import org.ragwortbank.node.metrics.PlatformCall
import org.ragwortbank.node.settings.SidecarNodeSettings
import org.ragwortbank.node.wire.WireMessage
import org.ragwortbank.node.wire.toCommand
import org.ragwortbank.node.wire.toWire
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A sidecar process: runs the requests of entries at one upstream. */
class SidecarNode(private val settings: SidecarNodeSettings) : NodeProcess {
    private val runtime = NodeRuntime(settings.name, settings.platform)
    private val writes = PendingWrites()
    private val upstream = createUpstreamClient(settings, runtime.httpClient)
    private val runs = RunRegistry()
    private val links = AtomicReference<PersistentMap<LinkId, PeerConnection>>(persistentMapOf())
    private val tables = SidecarTables(InstanceName(settings.name), settings.sidecar)
    private val loop =
        TickLoop(sidecarSchedule(), tables, MAX_IDLE_WAIT, runtime.metrics) { effect, _ -> perform(effect) }

    override fun start(): ListenAddresses = runBlocking {
        loop.start()
        acquireFencingToken()
        val peerServer = PeerServer(runtime.scope, runtime.selector, EntryLinkListener(), writes)
        val peerAddress = peerServer.bind(settings.peerAddress)
        peerServer.start()
        val adminAddress = AdminServer(runtime.group, SidecarAdminPages()).start(settings.adminAddress)
        ListenAddresses(settings.name, null, peerAddress, adminAddress)
    }

    override fun stop(requestedAgo: Duration) = loop.post(SidecarInput.StopRequested(requestedAgo))

    override fun awaitTermination() = runtime.awaitTermination()

    private fun acquireFencingToken() = runtime.scope.launch {
        val fencingStore = FencingStore(runtime.keyValueStore)
        var fencingToken: Long? = null
        while (fencingToken == null) {
            fencingToken = fencingStore.take(InstanceName(settings.name))
            runtime.metrics.recordPlatformCall(PlatformCall.FENCING, fencingToken != null)
            if (fencingToken == null) delay(FENCING_RETRY_DELAY)
        }
        loop.post(SidecarInput.FencingTokenReceived(fencingToken))
    }

    private fun perform(effect: SidecarEffect) {
        when (effect) {
            is SidecarEffect.SendReport -> links.get()[effect.link]?.send(effect.report.toWire())
            is SidecarEffect.StartRun -> startRun(effect.command)
            is SidecarEffect.CancelRun -> runs.cancel(effect.run)
            is SidecarEffect.LoadAdapter -> loadAdapter(effect)
            is SidecarEffect.UnloadAdapter -> unloadAdapter(effect)
            SidecarEffect.ProbeUpstream -> probeUpstream()
            is SidecarEffect.Log -> Logs.write(effect.line)
            SidecarEffect.Stopped -> onStopped()
        }
    }

    private fun startRun(command: SidecarCommand.Dispatch) =
        runs.start(command.run) { upstream.run(command, UpstreamRunListener(command.run)) }

    private fun loadAdapter(effect: SidecarEffect.LoadAdapter) = runtime.scope.launch {
        loop.post(SidecarInput.LoadCompleted(effect.adapter, upstream.load(effect.adapter, effect.fencingToken)))
    }

    private fun unloadAdapter(effect: SidecarEffect.UnloadAdapter) = runtime.scope.launch {
        loop.post(SidecarInput.UnloadCompleted(effect.adapter, upstream.unload(effect.adapter, effect.fencingToken)))
    }

    private fun probeUpstream() = runtime.scope.launch {
        loop.post(SidecarInput.UpstreamProbed(upstream.residentAdapters()))
    }

    private fun onStopped() {
        if (!writes.awaitAll(FINAL_WRITES_TIMEOUT)) {
            Logs.drain.warn("some reports were not written within {}", FINAL_WRITES_TIMEOUT)
        }
        Logs.drain.info("stopped")
        loop.stop()
        runtime.shutDown()
    }

    private inner class UpstreamRunListener(private val run: RunId) : RunListener {
        override fun onHead(head: ResponseHead) = loop.post(SidecarInput.RunStarted(run, head))

        override fun onOutput(tokens: Long, data: ByteString) =
            loop.post(SidecarInput.RunOutputReceived(run, tokens, data))

        override fun onCompleted(usage: Usage?) {
            runs.remove(run)
            loop.post(SidecarInput.RunCompleted(run, usage))
        }

        override fun onFailed(failure: RunFailure) {
            runs.remove(run)
            loop.post(SidecarInput.RunFailed(run, failure))
        }
    }

    private inner class EntryLinkListener : IncomingLinkListener {
        override fun onOpened(link: Long, peer: String, connection: PeerConnection) {
            links.updateAndGet { it.put(LinkId(link), connection) }
            loop.post(SidecarInput.LinkOpened(LinkId(link)))
        }

        override fun onMessage(link: Long, peer: String, message: WireMessage): Boolean {
            val command = message.toCommand()
            if (command == null) runtime.metrics.recordBadInput(BadInput.FRAME)
            if (command != null) loop.post(SidecarInput.EntryCommandReceived(LinkId(link), command))
            return command != null
        }

        override fun onClosed(link: Long, peer: String) {
            links.updateAndGet { it.remove(LinkId(link)) }
            loop.post(SidecarInput.LinkClosed(LinkId(link)))
        }

        override fun onHandshakeFailed() = runtime.metrics.recordBadInput(BadInput.UNIDENTIFIED_PEER)
    }

    private inner class SidecarAdminPages : AdminPages {
        override fun isReady(): Boolean = loop.tables.isUpstreamReachable && !loop.tables.isStopping

        override fun metricsText(): String {
            runtime.metrics.setOpenRequests(loop.tables.runs.size)
            return runtime.metrics.toPrometheusText()
        }

        override fun statusJson(): String {
            val tables = loop.tables
            val resident = tables.adapters.filterValues { it.state == AdapterState.RESIDENT }.keys
            return StatusDocument(
                name = settings.name,
                role = "sidecar",
                requests = tables.runs.size,
                adapters = resident.map { it.engineName }.sorted(),
                fencing = tables.fencingToken,
                stopping = tables.isStopping,
            ).toJson()
        }
    }

    private companion object {
        val MAX_IDLE_WAIT = 50.milliseconds
        val FINAL_WRITES_TIMEOUT = 5.seconds
        val FENCING_RETRY_DELAY = 500.milliseconds
    }
}
