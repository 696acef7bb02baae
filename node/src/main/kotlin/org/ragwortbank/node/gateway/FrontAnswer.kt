package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
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
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Writes one answer to a caller's connection.
 *
 * @property keepAlive whether the caller wants to use the connection further
 * @property stopping whether connections are closed after the present answer
 * @property finished told whether the connection stays open, when the last part is being written
 */
internal class FrontAnswer(
    private val ctx: ChannelHandlerContext,
    private val keepAlive: Boolean,
    private val stopping: () -> Boolean,
    private val finished: (Boolean, ChannelFuture) -> Unit,
) : AnswerSink {
    private var onWritability: () -> Unit = {}
    private var stays = keepAlive

    override val writable: Boolean get() = ctx.channel().isWritable

    override fun onWritability(action: () -> Unit) {
        onWritability = action
    }

    /** The caller has read, or stopped reading, what was written. */
    fun writabilityChanged() = onWritability()

    override fun begin(response: HttpResponse) {
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status())
        response.headers().forEach { (name, value) ->
            if (name.lowercase() !in HopHeaders.NAMES) head.headers().add(name, value)
        }
        val length = response.headers()[HttpHeaderNames.CONTENT_LENGTH]
        if (length == null || HttpUtil.isTransferEncodingChunked(response)) {
            HttpUtil.setTransferEncodingChunked(head, true)
        } else {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length)
        }
        markClose(head)
        ctx.write(head)
    }

    override fun content(content: ByteBuf) {
        ctx.writeAndFlush(DefaultHttpContent(content))
    }

    override fun end() = finished(stays, ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))

    override fun breakOff() {
        ctx.close()
    }

    override fun refuse(refusal: Refusal) {
        val body = Unpooled.wrappedBuffer(ErrorBody.of(refusal).toJson().encodeToByteArray())
        val status = HttpResponseStatus.valueOf(refusal.code.status)
        val head = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        refusal.retryAfter?.let { head.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(it)) }
        markClose(head)
        finished(stays, ctx.writeAndFlush(head))
    }

    private fun markClose(head: HttpResponse) {
        stays = keepAlive && !stopping()
        if (!stays) head.headers().set(HttpHeaderNames.CONNECTION, "close")
    }

    private fun seconds(wait: Duration): String = "%.3f".format(Locale.ROOT, wait.toDouble(DurationUnit.SECONDS))
}
