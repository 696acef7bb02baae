package org.ragwortbank.node.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import kotlin.test.Test
import kotlin.test.assertEquals

/** An upstream may answer before it was sent the whole request. */
class EarlyAnswerTest {
    private val released = mutableListOf<Channel>()
    private val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/")

    // Guards against a rest of a body that an upstream reads as the next request.
    @Test
    fun `given an answer before the request was sent whole, then its connection carries no other request`() {
        val handler = UpstreamHandler(ConnectionHistory(1), IgnoringConnectionObserver)
        val channel = EmbeddedChannel(UnfinishedWrites, handler)
        UpstreamExchange("r1", request, IgnoringListener, IdDialect, IgnoringConnectionObserver) { kept, _ ->
            released.add(kept)
        }.onConnected(channel, null)
        val answer = "HTTP/1.1 500 Some\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
        channel.writeInbound(Unpooled.copiedBuffer(answer, Charsets.ISO_8859_1))
        assertEquals(emptyList(), released)
    }

    /** A connection whose peer reads nothing, so that no write ends. */
    private object UnfinishedWrites : ChannelOutboundHandlerAdapter() {
        override fun write(ctx: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            ReferenceCountUtil.release(message)
        }
    }
}
