package org.ragwortbank.node.gateway

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayIdentity
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.UpstreamAttempt
import org.ragwortbank.core.gateway.gatewaySchedule
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.pressure.CutReason
import org.ragwortbank.core.pressure.PressureLimits
import org.ragwortbank.core.serving.ClientLimits
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.RequestKind
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.ServiceSpec
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.ServingConfig
import org.ragwortbank.core.serving.ServingRoute
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.serving.WeightedService
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.node.ProcessEventLoop
import org.ragwortbank.node.loop.EventLoopTicker
import org.ragwortbank.node.loop.TickTiming
import org.ragwortbank.node.metrics.NodeMetrics
import org.ragwortbank.node.port.RequestDialect
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A gateway's callers' server, registry, ticks and connections over real sockets; the test scripts the upstreams. */
internal class GatewayRig(
    upstreamCount: Int = 1,
    pressure: PressureLimits? = null,
    clientLimits: ClientLimits = ClientLimits(),
    sendBufferBytes: Int? = null,
) : AutoCloseable {
    private val settings = when (pressure) {
        null -> GatewaySettings()
        else -> GatewaySettings(features = persistentSetOf(Feature.PRESSURE), pressure = pressure)
    }
    private val process = ProcessEventLoop()
    private val metrics = NodeMetrics()
    private val now = { Timestamp(System.nanoTime()) }
    private val servers = List(upstreamCount) { ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()) }
    private val arrivals = LinkedBlockingQueue<RawConnection>()
    private val ticker = EventLoopTicker(
        loop = process.loop,
        schedule = gatewaySchedule(),
        initial = GatewayTables(GatewayIdentity("g", 1, isFirstStart = true), settings, now()),
        timing = TickTiming(now) { TICK_INTERVAL },
        observer = metrics,
        perform = ::perform,
    )
    private val connections = UpstreamConnections(process.loop, RoutedIdDialect, 2.seconds, now = now)
    private val requests = RequestRegistry(RoutedIdDialect, connections, metrics, now, post = ticker::post)
    private val pressure = AnswerPressure(process.loop, requests, metrics.pressure, ticker::postDeferred, ticker::post)
    private val httpServer = GatewayHttpServer(process.group, { clientLimits }, requests) { sendBufferBytes }
    private val callerSocket = ListeningSocket.open(Address(InetAddress.getLoopbackAddress().hostAddress, 0))

    init {
        servers.forEach { server -> thread(isDaemon = true) { accept(server) } }
        httpServer.open(callerSocket)
        process.run {
            this.pressure.apply(settings)
            ticker.start()
            ticker.post(GatewayInput.StoreRead(contents(), now()))
        }
    }

    /** Why answers to slow callers were ended. */
    val cuts = LinkedBlockingQueue<CutReason>()

    /** Opens a caller's connection. */
    fun connect() = RawConnection(Socket(callerSocket.address.host, callerSocket.address.port))

    /** Opens a connection of a caller whose system takes little before the caller reads. */
    fun connectSlow() = RawConnection(
        Socket().apply {
            receiveBufferSize = SMALL_BUFFER_BYTES
            connect(InetSocketAddress(callerSocket.address.host, callerSocket.address.port))
        },
    )

    /** The next connection that the gateway opens to any of its upstreams. */
    fun nextUpstream(): RawConnection = checkNotNull(arrivals.poll(WAIT_SECONDS, TimeUnit.SECONDS)) { "not connected" }

    /** The next connection that the gateway opens to any of its upstreams; null if it opens none for a moment. */
    fun upstreamSoon(): RawConnection? = arrivals.poll(SHORT_WAIT_MILLIS, TimeUnit.MILLISECONDS)

    /** Runs [action] while the gateway's loop reads nothing, so that what arrives is read in one iteration. */
    fun whileLoopIsBlocked(action: () -> Unit) {
        process.loop.execute { Thread.sleep(BLOCKED_MILLIS) }
        action()
    }

    /** The gateway's metrics. */
    fun metricsText(): String = metrics.toPrometheusText()

    /** Lets the gateway close its callers' connections that have no request in progress. */
    fun closeIdle() = process.run { httpServer.closeIdle() }

    /** Sets that the gateway stops. */
    fun stop() = process.run { requests.isStopping = true }

    override fun close() {
        servers.forEach { it.close() }
        callerSocket.channel.close()
        process.terminateAfterFlush()
        process.awaitTermination()
    }

    private fun perform(effect: GatewayEffect) {
        if (effect is GatewayEffect.CutAnswer) cuts.add(effect.reason)
        if (effect is GatewayEffect.Send) requests.send(effect.attempt) else requests.perform(effect)
        pressure.perform(effect)
    }

    private fun accept(server: ServerSocket) {
        try {
            while (true) arrivals.add(RawConnection(server.accept()))
        } catch (_: IOException) {
            server.close()
        }
    }

    private fun contents() = (listOf(StoreChange.ConfigSet(config())) + servers.mapIndexed(::registered))
        .toPersistentList()

    private fun registered(index: Int, server: ServerSocket): StoreChange = StoreChange.UpstreamRegistered(
        UpstreamRegistration(
            id = UpstreamId("u$index"),
            service = service,
            endpoint = Endpoint(server.inetAddress.hostAddress, server.localPort),
            domain = FailureDomain("zone"),
            slots = SLOTS,
            isAccepting = true,
            startedMillis = 1,
            residentModels = persistentSetOf(),
            resident = persistentMapOf(),
        ),
    )

    private fun config() = ServingConfig(
        version = 1,
        routes = persistentMapOf(
            "host" to persistentListOf(route("/once/", RequestKind.NON_IDEMPOTENT), route("/", RequestKind.IDEMPOTENT)),
        ),
        services = persistentMapOf(service to ServiceSpec(service, engine = null)),
    )

    private fun route(prefix: String, kind: RequestKind) = ServingRoute(
        name = RouteName("route$prefix"),
        host = "host",
        prefix = prefix,
        kind = kind,
        isResumable = false,
        targets = persistentListOf(WeightedService(service, 1)),
        timeout = 5.seconds,
        targetLatency = 500.milliseconds,
        maxAttempts = 2,
        priority = 0,
        isPublic = true,
    )

    private object RoutedIdDialect : RequestDialect by IdDialect {
        override fun decode(request: HttpRequest): ServingCall? {
            val headers: HttpHeaders = request.headers()
            return headers["Host"]?.let { host ->
                ServingCall(
                    id = headers["X-Request-Id"].orEmpty(),
                    host = host,
                    path = request.uri(),
                    callerTimeout = headers["X-Timeout-Ms"]?.toLong()?.milliseconds,
                )
            }
        }

        override fun keepAliveTimeout(response: HttpResponse): Duration = KEEP_ALIVE

        override fun upstreamHeaders(headers: HttpHeaders, attempt: UpstreamAttempt, remaining: Duration) =
            headers.copy().remove("Connection")
    }

    private companion object {
        const val BACKLOG = 256
        const val SMALL_BUFFER_BYTES = 4_096
        const val SLOTS = 16
        const val WAIT_SECONDS = 5L
        const val SHORT_WAIT_MILLIS = 150L
        const val BLOCKED_MILLIS = 60L
        val TICK_INTERVAL = 10.milliseconds
        val KEEP_ALIVE = 20.seconds
        val service = ServiceName("desk")
    }
}
