package org.ragwortbank.node.admin

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion
import org.ragwortbank.clients.http.Address
import java.net.InetSocketAddress

/** HTTP server for health, readiness, metrics and status. */
internal class AdminServer(private val group: EventLoopGroup, private val pages: AdminPages) {
    /** Listens on [address] and returns the bound address, which has the port that was chosen if the port was zero. */
    fun start(address: Address): Address {
        val server = ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .childHandler(ConnectionInitializer())
            .bind(address.host, address.port)
            .sync()
            .channel()
        return Address(address.host, (server.localAddress() as InetSocketAddress).port)
    }

    private inner class ConnectionInitializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAX_REQUEST_BYTES), PageHandler())
        }
    }

    private inner class PageHandler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(ctx: ChannelHandlerContext, request: FullHttpRequest) {
            val page = pageOf(request.uri())
            val body = Unpooled.wrappedBuffer(page.text.encodeToByteArray())
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, page.status, body)
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Deprecated in Java")
        override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
            ctx.close()
        }
    }

    private fun pageOf(path: String): Page =
        when (path) {
            "/health" -> Page(HttpResponseStatus.OK, PLAIN_TEXT, "ok\n")
            "/ready" -> if (pages.isReady()) READY else NOT_READY
            "/metrics" -> Page(HttpResponseStatus.OK, "text/plain; version=0.0.4", pages.metricsText())
            "/status" -> Page(HttpResponseStatus.OK, "application/json", pages.statusJson())
            else -> Page(HttpResponseStatus.NOT_FOUND, PLAIN_TEXT, "no such page\n")
        }

    private data class Page(val status: HttpResponseStatus, val contentType: String, val text: String)

    private companion object {
        const val MAX_REQUEST_BYTES = 64 * 1024
        const val PLAIN_TEXT = "text/plain"
        val READY = Page(HttpResponseStatus.OK, PLAIN_TEXT, "ready\n")
        val NOT_READY = Page(HttpResponseStatus.SERVICE_UNAVAILABLE, PLAIN_TEXT, "not ready\n")
    }
}
