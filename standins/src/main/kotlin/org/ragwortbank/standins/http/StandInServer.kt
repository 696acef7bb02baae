package org.ragwortbank.standins.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import org.ragwortbank.clients.http.Address
import java.net.InetSocketAddress

/** An HTTP/1.1 server for stand-ins. It expects one request at a time on each connection. */
class StandInServer(private val group: EventLoopGroup, private val handler: StandInHandler) {
    /** Listens on [port] of the loopback interface, or on a free port if [port] is 0, and returns its address. */
    fun start(port: Int): Address {
        val serverChannel = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childHandler(ConnectionInitializer())
            .bind(LOOPBACK_ADDRESS, port)
            .sync()
            .channel()
        return Address(LOOPBACK_ADDRESS, (serverChannel.localAddress() as InetSocketAddress).port)
    }

    private inner class ConnectionInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
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
