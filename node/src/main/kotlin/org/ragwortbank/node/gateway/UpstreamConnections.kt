package org.ragwortbank.node.gateway

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.node.port.RequestDialect
import kotlin.time.Duration

/**
 * Pool of connections to upstreams, kept open between requests; used on the event loop's thread only.
 *
 * @property onIdleClosed called when an upstream closes a connection that is kept open here, sooner than it had said
 */
internal class UpstreamConnections(
    private val loop: EventLoop,
    private val dialect: RequestDialect,
    connectTimeout: Duration,
    private val observer: ConnectionObserver = IgnoringConnectionObserver,
    private val onIdleClosed: (Endpoint) -> Unit = {},
    private val now: () -> Timestamp,
) {
    private var lastConnectionNumber = 0L
    private var idleConnections: PersistentMap<Endpoint, PersistentList<IdleConnection>> = persistentMapOf()

    private val bootstrap: Bootstrap = Bootstrap()
        .group(loop)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
        .handler(UpstreamChannelInitializer())

    /**
     * Sends [request], which its caller identifies as [requestId], to [endpoint] and notifies [listener]; on a kept
     * connection only if that has carried no request with this id, from the same or another caller.
     */
    fun send(
        endpoint: Endpoint,
        requestId: String,
        request: FullHttpRequest,
        listener: AttemptListener,
    ): UpstreamExchange {
        val keepIdle = { channel: Channel, timeout: Duration -> release(endpoint, channel, timeout) }
        val exchange = UpstreamExchange(requestId, request, listener, dialect, observer, keepIdle)
        val idleChannel = takeIdle(endpoint, requestId)
        if (idleChannel != null) {
            exchange.sendOn(idleChannel)
        } else {
            bootstrap.connect(endpoint.host, endpoint.port).addListener { connecting ->
                exchange.onConnected((connecting as ChannelFuture).channel(), connecting.cause())
            }
        }
        return exchange
    }

    /** Closes the connections to [endpoint] that carry no request. */
    fun closeIdle(endpoint: Endpoint) {
        val closed = idleConnections[endpoint].orEmpty()
        idleConnections = idleConnections.remove(endpoint)
        closed.forEach { it.channel.close() }
    }

    private fun takeIdle(endpoint: Endpoint, requestId: String): Channel? {
        val candidates = idleConnections[endpoint].orEmpty()
        val (usable, expired) = candidates.partition { it.channel.isActive && it.usableUntil > now() }
        val newest = usable.lastOrNull { it.history.mayCarry(requestId) }
        val remaining = usable.filter { it !== newest }
        idleConnections = idleConnections.put(endpoint, remaining.toPersistentList())
        expired.forEach { it.channel.close() }
        return newest?.channel
    }

    private fun onInactive(channel: Channel) {
        val endpoint = idleConnections.entries
            .firstOrNull { (_, idle) -> idle.any { it.channel === channel && it.usableUntil > now() } }?.key ?: return
        val remaining = idleConnections.getValue(endpoint).filter { it.channel !== channel }
        idleConnections = idleConnections.put(endpoint, remaining.toPersistentList())
        onIdleClosed(endpoint)
    }

    private fun release(endpoint: Endpoint, channel: Channel, timeout: Duration) {
        if (!channel.isActive) return
        val connections = idleConnections[endpoint] ?: persistentListOf()
        idleConnections = idleConnections.put(endpoint, connections.add(IdleConnection(channel, now() + timeout)))
    }

    /** A connection without a request, which can be reused until [usableUntil]. */
    private class IdleConnection(val channel: Channel, val usableUntil: Timestamp) {
        val history: ConnectionHistory get() = channel.upstreamHandler.history
    }

    private inner class UpstreamChannelInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val handler = UpstreamHandler(ConnectionHistory(++lastConnectionNumber, openedAt = now()), observer)
            channel.pipeline().addLast(ReceivedBytesHandler(handler), handler)
            channel.closeFuture().addListener { onInactive(channel) }
        }
    }
}
