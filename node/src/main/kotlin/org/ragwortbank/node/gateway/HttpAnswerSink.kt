package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.ragwortbank.clients.upstream.HopHeaders
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.node.http.ErrorBody
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Writes one answer to a caller's HTTP connection.
 *
 * The answer is over when it is complete, refused or aborted. From then on the connection belongs to the caller's next
 * request: nothing more is written or closed, and content is released.
 *
 * An answer of unknown length is sent in chunks, or ends with the connection if the caller doesn't know chunks. Then an
 * abort resets the connection, since a caller would take an orderly end for that of the answer.
 *
 * @property keepAlive whether the caller allows the connection to be reused
 * @property isStopping whether the process is stopping, so that the connection closes after this answer
 * @property knowsChunks whether the caller's version of HTTP has the chunked transfer coding
 * @property outbound writes the body
 * @property onLastWrite called with whether the connection stays open and with the future of the last write
 */
internal class HttpAnswerSink(
    private val ctx: ChannelHandlerContext,
    private val keepAlive: Boolean,
    private val isStopping: () -> Boolean,
    private val knowsChunks: Boolean = true,
    private val outbound: CallerOutbound = CallerOutbound(ctx),
    private val onLastWrite: (Boolean, ChannelFuture) -> Unit,
) : AnswerSink {
    private var staysOpen = keepAlive
    private var isOver = false
    private var endsWithConnection = false

    override val isWritable: Boolean get() = outbound.isWritable

    override fun onWritabilityChange(action: () -> Unit) {
        outbound.onReadingChange = action
    }

    /** Called when the connection has become writable or is no longer writable. */
    fun onWritabilityChanged() = outbound.onReadingChange()

    override fun writeHead(response: HttpResponse) {
        if (isOver) return
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status())
        response.headers().forEach { (name, value) ->
            if (name.lowercase() !in HopHeaders.NAMES) head.headers().add(name, value)
        }
        val length = response.headers()[HttpHeaderNames.CONTENT_LENGTH]
        val hasLength = length != null && !HttpUtil.isTransferEncodingChunked(response)
        endsWithConnection = !hasLength && !knowsChunks
        when {
            hasLength -> head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length)
            knowsChunks -> HttpUtil.setTransferEncodingChunked(head, true)
        }
        setConnectionHeader(head)
        ctx.write(head)
    }

    override fun writeContent(content: ByteBuf) {
        if (isOver) content.release() else outbound.write(content)
    }

    override fun complete() {
        if (isOver) return
        isOver = true
        val lastWrite = ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
        outbound.end(lastWrite)
        onLastWrite(staysOpen, lastWrite)
    }

    override fun abort() {
        if (isOver) return
        isOver = true
        if (endsWithConnection && ctx.channel().isOpen) ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0)
        ctx.close()
    }

    override fun writeRefusal(refusal: Refusal) {
        if (isOver) return
        isOver = true
        val body = Unpooled.wrappedBuffer(ErrorBody.of(refusal).toJson().encodeToByteArray())
        val status = HttpResponseStatus.valueOf(refusal.code.status)
        val head = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        refusal.retryAfter?.let { head.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(it)) }
        setConnectionHeader(head)
        val lastWrite = ctx.writeAndFlush(head)
        outbound.end(lastWrite)
        onLastWrite(staysOpen, lastWrite)
    }

    private fun setConnectionHeader(head: HttpResponse) {
        staysOpen = keepAlive && !isStopping() && !endsWithConnection
        if (!staysOpen) head.headers().set(HttpHeaderNames.CONNECTION, "close")
    }

    private fun seconds(wait: Duration): String = wait.toString(DurationUnit.SECONDS, FRACTION_DIGITS).removeSuffix("s")

    private companion object {
        const val FRACTION_DIGITS = 3
    }
}
