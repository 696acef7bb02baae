package org.ragwortbank.node.gateway

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpServerCodec
import org.ragwortbank.core.serving.ClientLimits
import org.ragwortbank.core.serving.Endpoint
import java.net.InetSocketAddress

/** Accepts callers' connections. */
internal class FrontServer(
    private val group: EventLoopGroup,
    private val limits: () -> ClientLimits,
    private val calls: FrontCalls,
) {
    private val connections = DefaultChannelGroup(group.next())
    private lateinit var server: Channel

    /** Listens at [endpoint] and returns where, which differs when the port was zero. */
    fun open(endpoint: Endpoint): Endpoint {
        server = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(Setup())
            .bind(endpoint.host, endpoint.port)
            .sync()
            .channel()
        return Endpoint(endpoint.host, (server.localAddress() as InetSocketAddress).port)
    }

    /** Accepts no more connections and closes those on which no answer is under way. */
    fun stopIdle() {
        server.close()
        connections.forEach { channel ->
            val context = channel.pipeline().context(FrontHandler::class.java)
            if (context != null) (context.handler() as FrontHandler).closeIfIdle(context)
        }
    }

    private inner class Setup : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val now = limits()
            connections.add(channel)
            channel.pipeline().addLast(
                HttpServerCodec(now.headerBytes, now.headerBytes, CHUNK_BYTES),
                FrontHandler(now, calls),
            )
        }
    }

    private companion object {
        const val BACKLOG = 1_024
        const val CHUNK_BYTES = 16_384
    }
}
