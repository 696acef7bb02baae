package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import org.ragwortbank.core.gateway.AttemptFailure
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull

/** The end of an attempt is final, whatever its connection does later. */
class UpstreamExchangeTest {
    private val events = mutableListOf<String>()
    private val released = mutableListOf<Channel>()
    private val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")
    private val exchange =
        UpstreamExchange("r1", request, Recorder(), IdDialect, IgnoringConnectionObserver) { channel, _ ->
            released.add(channel)
        }

    // Guards against a request that reaches an upstream after its attempt has ended.
    @Test
    fun `given an attempt that was cancelled, when its connection opens, then nothing is sent on it`() {
        val channel = EmbeddedChannel(UpstreamHandler(ConnectionHistory(1), IgnoringConnectionObserver))
        exchange.cancel()
        exchange.onConnected(channel, null)
        assertFalse(channel.isOpen)
        assertNull(channel.readOutbound())
        assertEquals(emptyList(), events)
    }

    // Guards against two outcomes of one attempt, of which the second one ends the next attempt.
    @Test
    fun `given a complete answer, when the connection fails and answers again, then neither counts`() {
        val channel = EmbeddedChannel(UpstreamHandler(ConnectionHistory(1), IgnoringConnectionObserver))
        exchange.sendOn(channel)
        channel.writeInbound(answer(500))
        exchange.onFailure(AttemptFailure.ConnectionLost("late"))
        exchange.onHead(answer(200))
        exchange.onComplete(channel)
        assertEquals(listOf("500", "complete"), events)
    }

    // Guards against a connection that serves another request after it has carried what belongs to none.
    @Test
    fun `given two answers, then the connection is closed and never released`() {
        val channel = EmbeddedChannel(UpstreamHandler(ConnectionHistory(1), IgnoringConnectionObserver))
        exchange.sendOn(channel)
        channel.writeInbound(answer(500), answer(200))
        assertEquals(emptyList(), released)
        assertEquals(listOf("500", "complete"), events)
        assertFalse(channel.isOpen)
    }

    // Guards against a lost connection that passes for the end of an answer without a length.
    @Test
    fun `given an error on the connection, when it ends then, then the answer has failed`() {
        val channel = EmbeddedChannel(UpstreamHandler(ConnectionHistory(1), IgnoringConnectionObserver))
        exchange.sendOn(channel)
        channel.pipeline().fireExceptionCaught(IOException("reset"))
        exchange.onComplete(channel)
        assertEquals(listOf("reset"), events)
    }

    private fun answer(status: Int) =
        DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status)).apply {
            headers().add("X-Request-Id", "r1").add("Content-Length", "0")
        }

    private inner class Recorder : AttemptListener {
        override fun onNotSent(cause: String) = record(cause)

        override fun onHead(response: HttpResponse) = record(response.status().code().toString())

        override fun onContent(content: ByteBuf) = record("content")

        override fun onComplete() = record("complete")

        override fun onFailure(cause: AttemptFailure) = record(cause.detail)

        private fun record(event: String) {
            events += event
        }
    }
}
