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
import io.netty.handler.codec.http.HttpClientCodec
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.node.port.RequestDialect
import kotlin.time.Duration

/** Connections to upstreams, kept open between requests; used on the event loop's thread. */
internal class UpstreamConnections(
    private val loop: EventLoop,
    private val dialect: RequestDialect,
    connectTimeout: Duration,
    private val now: () -> Timestamp,
) {
    private var idle: PersistentMap<Endpoint, PersistentList<IdleConnection>> = persistentMapOf()

    private val bootstrap: Bootstrap = Bootstrap()
        .group(loop)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
        .handler(Setup())

    /** Sends [request], whose caller names it [id], to [endpoint] and tells [listener] what becomes of it. */
    fun send(endpoint: Endpoint, id: String, request: FullHttpRequest, listener: AttemptListener): UpstreamExchange {
        val keep = { channel: Channel, limit: Duration -> release(endpoint, channel, limit) }
        val exchange = UpstreamExchange(id, request, listener, dialect, keep)
        val kept = take(endpoint)
        if (kept != null) {
            exchange.sendOn(kept)
        } else {
            bootstrap.connect(endpoint.host, endpoint.port).addListener { done ->
                exchange.connected((done as ChannelFuture).channel(), done.cause())
            }
        }
        return exchange
    }

    private fun take(endpoint: Endpoint): Channel? {
        val kept = idle[endpoint].orEmpty()
        val (sound, old) = kept.partition { it.channel.isActive && it.until > now() }
        old.forEach { it.channel.close() }
        val newest = sound.lastOrNull()
        idle = idle.put(endpoint, persistentListOf<IdleConnection>().addAll(sound.dropLast(1)))
        return newest?.channel
    }

    private fun release(endpoint: Endpoint, channel: Channel, limit: Duration) {
        if (!channel.isActive) return
        val known = idle[endpoint] ?: persistentListOf()
        idle = idle.put(endpoint, known.add(IdleConnection(channel, now() + limit)))
    }

    /** A connection without a request, which may be used until [until]. */
    private class IdleConnection(val channel: Channel, val until: Timestamp)

    private inner class Setup : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val codec = HttpClientCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES, false)
            channel.pipeline().addLast(codec, UpstreamHandler())
        }
    }

    private companion object {
        const val MAX_LINE_BYTES = 4_096
        const val MAX_HEADER_BYTES = 32_768
        const val MAX_CHUNK_BYTES = 16_384
    }
}
