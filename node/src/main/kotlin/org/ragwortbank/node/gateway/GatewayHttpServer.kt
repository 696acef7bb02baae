package org.ragwortbank.node.gateway

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelException
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
import org.ragwortbank.node.http.readToEndOfInput
import org.ragwortbank.node.log.Logs

/**
 * HTTP server for callers.
 *
 * @property sendBufferBytes what the system may hold on its way to each caller; null for as much as it likes
 */
internal class GatewayHttpServer(
    private val group: EventLoopGroup,
    private val limits: () -> ClientLimits,
    private val listener: CallerListener,
    private val sendBufferBytes: () -> Int? = { null },
) {
    private val connections = DefaultChannelGroup(group.next())
    private lateinit var serverChannel: Channel

    /** Starts to accept connections on [socket]. */
    fun open(socket: ListeningSocket) {
        serverChannel = ServerBootstrap()
            .group(group)
            .channelFactory { NioServerSocketChannel(socket.channel) }
            .readToEndOfInput()
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
            sendBufferBytes()?.let { limitSendBuffer(channel, it) }
            channel.pipeline().addLast(
                HttpServerCodec(currentLimits.maxHeaderBytes, currentLimits.maxHeaderBytes, MAX_CHUNK_BYTES),
                GatewayHttpHandler(currentLimits, listener),
            )
        }
    }

    /** What the system holds for a caller is memory as well; without a limit it grows to some megabytes. */
    private fun limitSendBuffer(channel: SocketChannel, bytes: Int) {
        try {
            channel.config().sendBufferSize = bytes
        } catch (e: ChannelException) {
            Logs.http.debug("the send buffer of a connection stays as it is: {}", e.message)
        }
    }

    private companion object {
        const val MAX_CHUNK_BYTES = 16_384
        val waterMarks = WriteBufferWaterMark(PressureLimits.LOW_WATER_BYTES, PressureLimits.HIGH_WATER_BYTES)
    }
}
