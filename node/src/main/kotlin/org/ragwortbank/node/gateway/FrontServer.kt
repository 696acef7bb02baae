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

/** Accepts callers' connections. */
internal class FrontServer(
    private val group: EventLoopGroup,
    private val limits: () -> ClientLimits,
    private val calls: FrontCalls,
) {
    private val connections = DefaultChannelGroup(group.next())
    private lateinit var server: Channel

    /** Accepts the connections that come to [socket]. */
    fun open(socket: ListeningSocket) {
        server = ServerBootstrap()
            .group(group)
            .channelFactory { NioServerSocketChannel(socket.channel) }
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(Setup())
            .register()
            .sync()
            .channel()
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
                HttpServerCodec(now.maxHeaderBytes, now.maxHeaderBytes, CHUNK_BYTES),
                FrontHandler(now, calls),
            )
        }
    }

    private companion object {
        const val CHUNK_BYTES = 16_384
    }
}
