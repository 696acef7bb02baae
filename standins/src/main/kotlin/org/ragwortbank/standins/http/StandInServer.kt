package org.ragwortbank.standins.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.group.ChannelMatchers
import io.netty.channel.group.DefaultChannelGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.util.concurrent.GlobalEventExecutor
import org.ragwortbank.clients.http.Address
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicReference

/** An HTTP/1.1 server for stand-ins. It expects one request at a time on each connection. */
class StandInServer(private val group: EventLoopGroup, private val handler: StandInHandler) {
    /** The listening socket and its connections; once it is closed, it closes what is added to it. */
    private val channels = AtomicReference(newChannelGroup())

    /** Listens on [port] of the loopback interface, or on a free port if [port] is 0, and returns its address. */
    fun start(port: Int): Address {
        val started = newChannelGroup()
        channels.set(started)
        val serverChannel = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childHandler(ConnectionInitializer())
            .bind(LOOPBACK_ADDRESS, port)
            .sync()
            .channel()
        started.add(serverChannel)
        return Address(LOOPBACK_ADDRESS, (serverChannel.localAddress() as InetSocketAddress).port)
    }

    /** Closes the listening socket and all connections, as the end of a process does; [start] may follow. */
    fun stop() {
        channels.get().close().awaitUninterruptibly()
    }

    /** Closes all connections and goes on to listen, as if another process had taken the socket over at once. */
    fun closeConnections() {
        channels.get().close(ChannelMatchers.isNonServerChannel()).awaitUninterruptibly()
    }

    private fun newChannelGroup() = DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true)

    private inner class ConnectionInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channels.get().add(channel)
            channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAX_BODY_BYTES), RequestHandler())
        }
    }

    private inner class RequestHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(ctx: ChannelHandlerContext, request: FullHttpRequest) =
            handler.handle(StandInRequest.of(request), Responder(ctx.channel()))

        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }

    private companion object {
        const val LOOPBACK_ADDRESS = "127.0.0.1"
        const val MAX_BODY_BYTES = 64 * 1024 * 1024
    }
}
