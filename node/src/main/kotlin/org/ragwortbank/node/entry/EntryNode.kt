package org.ragwortbank.node.entry

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.ragwortbank.core.entry.EntryEffect
import org.ragwortbank.core.entry.EntryIdentity
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.entry.EntryTables
import org.ragwortbank.core.entry.entrySchedule
import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.Call
import org.ragwortbank.core.model.Configuration
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.node.ListenAddresses
import org.ragwortbank.node.NodeProcess
import org.ragwortbank.node.NodeRuntime
import org.ragwortbank.node.PendingWrites
import org.ragwortbank.node.admin.AdminPages
import org.ragwortbank.node.admin.AdminServer
import org.ragwortbank.node.admin.StatusDocument
import org.ragwortbank.node.http.CallSink
import org.ragwortbank.node.http.EntryHttpServer
import org.ragwortbank.node.http.ResponseWriter
import org.ragwortbank.node.link.IncomingLinkListener
import org.ragwortbank.node.link.PeerConnection
import org.ragwortbank.node.link.PeerServer
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.loop.TickLoop
import org.ragwortbank.node.metrics.BadInput
import org.ragwortbank.node.now
import org.ragwortbank.node.settings.EntryNodeSettings
import org.ragwortbank.node.wire.WireMessage
import org.ragwortbank.node.wire.toEntryMessage
import org.ragwortbank.node.wire.toWire
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An entry process: serves callers by way of sidecars and exchanges messages with other entries. */
class EntryNode(private val settings: EntryNodeSettings) : NodeProcess {
    private val runtime = NodeRuntime(settings.name, settings.platform)
    private val name = InstanceName(settings.name)
    private val requestSequence = AtomicLong()
    private val answerWriters = AnswerWriterRegistry()
    private val answers = EntryAnswers(answerWriters, runtime.metrics)
    private val writes = PendingWrites()

    override fun start(): ListenAddresses = runBlocking {
        val peerServer = PeerServer(runtime.scope, runtime.selector, EntryLinkListener())
        val peerAddress = peerServer.bind(settings.peerAddress)
        val member = LimitMember(name, runtime.incarnation, peerAddress.toString())
        val identity = EntryIdentity(member, FailureDomain(settings.failureDomain))
        val tables = EntryTables(identity, settings.entry)
        loop = TickLoop(entrySchedule(), tables, MAX_IDLE_WAIT, runtime.metrics, ::perform)
        platform = EntryPlatform(runtime, settings.platform, loop::post)
        loop.start()
        platform.start()
        peerServer.start()
        val adminAddress = AdminServer(runtime.group, EntryAdminPages()).start(settings.adminAddress)
        val httpServer = EntryHttpServer(runtime.group, settings.http, EntryCallSink(), writes)
        val httpAddress = httpServer.start(settings.httpAddress)
        ListenAddresses(settings.name, httpAddress, peerAddress, adminAddress)
    }

    override fun stop(requestedAgo: Duration) = loop.post(EntryInput.StopRequested(requestedAgo))

    override fun awaitTermination() = runtime.awaitTermination()

    private lateinit var loop: TickLoop<EntryTables, EntryInput, EntryEffect>
    private lateinit var platform: EntryPlatform
    private val claims = EntryClaims(runtime) { loop.post(it) }
    private val probe = MemberProbe(runtime.scope, runtime.selector) { loop.post(EntryInput.MemberProcessEnded(it)) }
    private val links = EntryLinks(runtime.scope, runtime.selector, name) { loop.post(it) }

    /** Messages of this entry to itself; a coroutine posts them, so the tick thread never blocks on its own inbox. */
    private val selfMessages = Channel<EntryInput>(Channel.UNLIMITED).also { channel ->
        runtime.scope.launch { for (input in channel) loop.post(input) }
    }

    private fun perform(effect: EntryEffect, decidedAt: Timestamp) {
        when (effect) {
            is EntryEffect.OnCaller -> answers.perform(effect)
            is EntryEffect.OnPlatform -> callPlatform(effect)
            is EntryEffect.SendToSidecar -> sendToSidecar(effect, decidedAt)
            is EntryEffect.SendToEntry -> sendToEntry(effect)
            is EntryEffect.ProbeMember -> probe.probe(effect.member)
            is EntryEffect.SetLinks -> links.reconcile(effect.instances)
            is EntryEffect.Log -> Logs.write(effect.line)
            EntryEffect.Stopped -> onStopped()
        }
    }

    private fun callPlatform(effect: EntryEffect.OnPlatform) {
        when (effect) {
            is EntryEffect.ProposeEpoch -> platform.proposeEpoch(effect.expected, effect.proposed)
            is EntryEffect.Claim -> claims.claim(effect.request, effect.account, effect.key)
            is EntryEffect.ReleaseClaim -> claims.release(effect.request, effect.account, effect.key)
            EntryEffect.ReadConfiguration -> platform.requestConfigurationRead()
            EntryEffect.ReadEpoch -> platform.requestEpochRead()
        }
    }

    /**
     * Fails a dispatch that was decided more than a grant lifetime ago: the process was suspended after its tick, and
     * the granted tokens no longer count.
     */
    private fun sendToSidecar(effect: EntryEffect.SendToSidecar, decidedAt: Timestamp) {
        val command = effect.command
        val isStale = now() - decidedAt > settings.entry.grantLifetime
        if (isStale && command is SidecarCommand.Dispatch) {
            val failureReport = SidecarReport.Failed(command.run, Refusal.notRun(ResultCode.STALE_DISPATCH))
            selfMessages.trySend(EntryInput.SidecarReportReceived(effect.to, failureReport))
        } else {
            links.send(effect.to, command.toWire())
        }
    }

    private fun sendToEntry(effect: EntryEffect.SendToEntry) {
        if (effect.to == name) {
            selfMessages.trySend(EntryInput.EntryMessageReceived(name, effect.message))
        } else {
            links.send(effect.to, effect.message.toWire())
        }
    }

    private fun onStopped() {
        if (!writes.awaitAll(FINAL_WRITES_TIMEOUT)) {
            Logs.drain.warn("some answers were not written within {}", FINAL_WRITES_TIMEOUT)
        }
        Logs.drain.info("stopped")
        loop.stop()
        runtime.shutDown()
    }

    private inner class EntryCallSink : CallSink {
        override val configuration: Configuration get() = loop.tables.configuration

        override fun nextRequestId(): RequestId = RequestId(runtime.incarnation, requestSequence.incrementAndGet())

        override fun offerCall(call: Call, writer: ResponseWriter): Boolean {
            answerWriters.add(call.id, writer)
            val isAccepted = loop.offer(EntryInput.CallArrived(call))
            if (!isAccepted) answerWriters.remove(call.id)
            return isAccepted
        }

        override fun onCallerDisconnected(request: RequestId) {
            if (answerWriters.remove(request) != null) loop.post(EntryInput.CallerDisconnected(request))
        }

        override fun onBadInput(kind: BadInput, refusal: Refusal) {
            runtime.metrics.recordBadInput(kind)
            Logs.http.info("request refused: {} {}: {}", refusal.code.number, refusal.code, refusal.detail)
        }
    }

    private inner class EntryLinkListener : IncomingLinkListener {
        override fun onOpened(link: Long, peer: String, connection: PeerConnection) =
            Logs.links.info("link {} of {} open", link, peer)

        override fun onMessage(link: Long, peer: String, message: WireMessage): Boolean {
            val entryMessage = message.toEntryMessage()
            if (entryMessage == null) runtime.metrics.recordBadInput(BadInput.FRAME)
            if (entryMessage != null) loop.post(EntryInput.EntryMessageReceived(InstanceName(peer), entryMessage))
            return entryMessage != null
        }

        override fun onClosed(link: Long, peer: String) = Unit

        override fun onHandshakeFailed() = runtime.metrics.recordBadInput(BadInput.UNIDENTIFIED_PEER)
    }

    private inner class EntryAdminPages : AdminPages {
        override fun isReady(): Boolean {
            val tables = loop.tables
            val hasUpstream = tables.upstreams.values.any { it.isAvailable }
            return !tables.stopping && tables.configuration.version > 0 && hasUpstream
        }

        override fun metricsText(): String {
            runtime.metrics.setOpenRequests(loop.tables.requests.size)
            return runtime.metrics.toPrometheusText()
        }

        override fun statusJson(): String {
            val tables = loop.tables
            return StatusDocument(
                name = settings.name,
                role = "entry",
                configVersion = tables.configuration.version,
                requests = tables.requests.size,
                upstreams = tables.upstreams.values.count { it.isAvailable },
                stopping = tables.stopping,
            ).toJson()
        }
    }

    private companion object {
        val MAX_IDLE_WAIT = 50.milliseconds
        val FINAL_WRITES_TIMEOUT = 5.seconds
    }
}
