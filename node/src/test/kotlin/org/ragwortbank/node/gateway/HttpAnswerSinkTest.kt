package org.ragwortbank.node.gateway

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** An answer that is over gets no further part, which would stand where the caller's next answer is due. */
class HttpAnswerSinkTest {
    private val handler = ChannelInboundHandlerAdapter()
    private val channel = EmbeddedChannel(handler)
    private val sink = HttpAnswerSink(channel.pipeline().context(handler), keepAlive = true, { false }) { _, _ -> }

    // Guards against a late body in front of the caller's next answer.
    @Test
    fun `given a complete answer, when more of it is written, then nothing is sent and the body is released`() {
        writeAnswer()
        val late = Unpooled.copiedBuffer("late", Charsets.UTF_8)
        sink.writeContent(late)
        assertEquals(emptyList(), sent())
        assertEquals(0, late.refCnt())
    }

    // Guards against a second head on a connection where no request waits for it.
    @Test
    fun `given a refusal, when the answer of the upstream begins, then nothing is sent`() {
        sink.writeRefusal(Refusal.notRun(ResultCode.DRAINING))
        sent()
        sink.writeHead(head())
        sink.complete()
        assertEquals(emptyList(), sent())
    }

    // Guards against a refusal behind a whole answer.
    @Test
    fun `given a complete answer, when it is refused, then nothing is sent`() {
        writeAnswer()
        sink.writeRefusal(Refusal.notRun(ResultCode.DRAINING))
        assertEquals(emptyList(), sent())
    }

    // Guards against the end of a connection that the next request uses by now.
    @Test
    fun `given a complete answer, when it is aborted, then the connection stays open`() {
        writeAnswer()
        sink.abort()
        assertTrue(channel.isOpen)
    }

    private fun writeAnswer() {
        sink.writeHead(head())
        sink.complete()
        sent()
    }

    private fun head(): HttpResponse = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)

    private fun sent(): List<Any> {
        channel.flush()
        return generateSequence { channel.readOutbound<Any>() }.toList()
    }
}
