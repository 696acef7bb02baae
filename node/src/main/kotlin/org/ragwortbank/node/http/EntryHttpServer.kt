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

/** HTTP server of an entry; closes connections beyond the limit of open ones. */
internal class EntryHttpServer(
    private val group: EventLoopGroup,
    private val settings: HttpSettings,
    sink: CallSink,
    pendingWrites: PendingWrites,
) {
    private val dispatcher = CallDispatcher(CallDecoder(settings.defaultMaxTokens), sink, pendingWrites)
    private val connectionCount = AtomicInteger()

    /** Listens on [address] and returns the bound address, which has the port that was chosen if the port was zero. */
    fun start(address: Address): Address {
        val server = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .readToEndOfInput()
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(ConnectionInitializer())
            .bind(address.host, address.port)
            .sync()
            .channel()
        return Address(address.host, (server.localAddress() as InetSocketAddress).port)
    }

    private fun admitConnection(channel: Channel): Boolean {
        val openCount = connectionCount.incrementAndGet()
        channel.closeFuture().addListener { connectionCount.decrementAndGet() }
        return openCount <= settings.maxConnections
    }

    private inner class ConnectionInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            if (!admitConnection(channel)) {
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
        const val ACCEPT_BACKLOG = 1_024
    }
}
