package org.ragwortbank.node.gateway

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpServerCodec
import org.ragwortbank.core.pressure.PressureLimits
import org.ragwortbank.core.serving.ClientLimits

/** HTTP server for callers. */
internal class GatewayHttpServer(
    private val group: EventLoopGroup,
    private val limits: () -> ClientLimits,
    private val listener: CallerListener,
) {
    private val connections = DefaultChannelGroup(group.next())
    private lateinit var serverChannel: Channel

    /** Starts to accept connections on [socket]. */
    fun open(socket: ListeningSocket) {
        serverChannel = ServerBootstrap()
            .group(group)
            .channelFactory { NioServerSocketChannel(socket.channel) }
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMarks)
            .childHandler(CallerChannelInitializer())
            .register()
            .sync()
            .channel()
    }

    /** Stops accepting connections and closes those without a request in progress. */
    fun closeIdle() {
        serverChannel.close()
        connections.forEach { channel ->
            val context = channel.pipeline().context(GatewayHttpHandler::class.java)
            if (context != null) (context.handler() as GatewayHttpHandler).closeIfIdle(context)
        }
    }

    private inner class CallerChannelInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val currentLimits = limits()
            connections.add(channel)
            channel.pipeline().addLast(
                HttpServerCodec(currentLimits.maxHeaderBytes, currentLimits.maxHeaderBytes, MAX_CHUNK_BYTES),
                GatewayHttpHandler(currentLimits, listener),
            )
        }
    }

    private companion object {
        const val MAX_CHUNK_BYTES = 16_384
        val waterMarks = WriteBufferWaterMark(PressureLimits.LOW_WATER_BYTES, PressureLimits.HIGH_WATER_BYTES)
    }
}
