package org.ragwortbank.node.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpServerCodec
import org.ragwortbank.clients.http.Address
import org.ragwortbank.node.PendingWrites
import org.ragwortbank.node.settings.HttpSettings
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicInteger

/** Accepts callers' connections. */
internal class EntryHttpServer(
    private val group: EventLoopGroup,
    private val settings: HttpSettings,
    sink: CallSink,
    writes: PendingWrites,
) {
    private val dispatcher = CallDispatcher(CallDecoder(settings.defaultMaxTokens), sink, writes)
    private val connections = AtomicInteger()

    /** Listens on [address] and returns the address bound, which differs when the port was zero. */
    fun start(address: Address): Address {
        val server = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(Setup())
            .bind(address.host, address.port)
            .sync()
            .channel()
        return Address(address.host, (server.localAddress() as InetSocketAddress).port)
    }

    private fun accept(channel: Channel): Boolean {
        val open = connections.incrementAndGet()
        channel.closeFuture().addListener { connections.decrementAndGet() }
        return open <= settings.maxConnections
    }

    private inner class Setup : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            if (!accept(channel)) {
                channel.close()
                return
            }
            val config = HttpDecoderConfig()
                .setMaxInitialLineLength(settings.maxHeaderBytes)
                .setMaxHeaderSize(settings.maxHeaderBytes)
            channel.pipeline().addLast(HttpServerCodec(config), CallHandler(settings, dispatcher))
        }
    }

    private companion object {
        const val BACKLOG = 1_024
    }
}
