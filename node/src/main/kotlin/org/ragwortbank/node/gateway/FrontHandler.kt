package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.clients.upstream.HopHeaders
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.ClientLimits
import org.ragwortbank.node.http.Assembly
import org.ragwortbank.node.http.ErrorBody
import org.ragwortbank.node.http.RequestAssembler
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Reads the requests of one caller's connection, one after the other, and writes their answers. */
internal class FrontHandler(
    private val limits: ClientLimits,
    private val calls: FrontCalls,
) : ChannelInboundHandlerAdapter() {
    private val assembler = RequestAssembler(limits.bodyBytes)
    private var timeout: ScheduledFuture<*>? = null
    private var answer: Answer? = null
    private var refused = false
    private var early: PersistentList<HttpObject> = persistentListOf()

    override fun channelActive(ctx: ChannelHandlerContext) = awaitRequest(ctx)

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        when {
            message !is HttpObject || refused -> ReferenceCountUtil.release(message)
            answer == null -> read(ctx, message)
            early.size >= MAX_EARLY_PARTS -> dropConnection(ctx, message)
            else -> early = early.add(message)
        }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        answer?.writabilityChanged()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timeout?.cancel(false)
        assembler.clear()
        early.forEach { ReferenceCountUtil.release(it) }
        early = persistentListOf()
        answer?.let(calls::gone)
        answer = null
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    /** Closes the connection unless an answer is under way. */
    fun closeIfIdle(ctx: ChannelHandlerContext) {
        if (answer == null) ctx.close()
    }

    private fun awaitRequest(ctx: ChannelHandlerContext) = expect(ctx, limits.idleTimeout) { ctx.close() }

    private fun read(ctx: ChannelHandlerContext, message: HttpObject) {
        if (message is HttpRequest) beginRequest(ctx, message)
        when (val assembly = assembler.add(ctx, message)) {
            Assembly.Partial -> Unit
            is Assembly.Bad -> refuse(ctx, assembly.refusal)
            is Assembly.Whole -> complete(ctx, FrontRequest(assembly.request, assembly.body))
        }
    }

    private fun beginRequest(ctx: ChannelHandlerContext, request: HttpRequest) {
        expect(ctx, limits.idleTimeout) { refuse(ctx, slowSender) }
        val waits = HttpUtil.is100ContinueExpected(request)
        if (waits) ctx.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
    }

    private fun complete(ctx: ChannelHandlerContext, request: FrontRequest) {
        timeout?.cancel(false)
        val started = Answer(ctx, HttpUtil.isKeepAlive(request.head))
        answer = started
        calls.arrived(request, started)
    }

    private fun answered(ctx: ChannelHandlerContext, keepAlive: Boolean, written: ChannelFuture) {
        answer = null
        if (!keepAlive) {
            refused = true
            written.addListener(ChannelFutureListener.CLOSE)
            return
        }
        awaitRequest(ctx)
        val waiting = early
        early = persistentListOf()
        waiting.forEach { channelRead(ctx, it) }
    }

    private fun dropConnection(ctx: ChannelHandlerContext, message: Any) {
        ReferenceCountUtil.release(message)
        ctx.close()
    }

    private fun expect(ctx: ChannelHandlerContext, limit: Duration, action: () -> Unit) {
        timeout?.cancel(false)
        timeout = ctx.executor().schedule(action, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun refuse(ctx: ChannelHandlerContext, refusal: Refusal) {
        timeout?.cancel(false)
        assembler.clear()
        calls.unreadable(refusal)
        Answer(ctx, keepAlive = false).refuse(refusal)
    }

    /** The answer under way on this connection. */
    private inner class Answer(
        private val ctx: ChannelHandlerContext,
        private val keepAlive: Boolean,
    ) : AnswerSink {
        private var onWritability: () -> Unit = {}
        private var stays = keepAlive

        override val writable: Boolean get() = ctx.channel().isWritable

        override fun onWritability(action: () -> Unit) {
            onWritability = action
        }

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

        override fun end() = finish(ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT))

        override fun breakOff() {
            ctx.close()
        }

        override fun refuse(refusal: Refusal) {
            val body = Unpooled.wrappedBuffer(ErrorBody.of(refusal).text().encodeToByteArray())
            val status = HttpResponseStatus.valueOf(refusal.code.status)
            val head = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
            head.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            refusal.retryAfter?.let { head.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(it)) }
            markClose(head)
            finish(ctx.writeAndFlush(head))
        }

        private fun markClose(head: HttpResponse) {
            stays = keepAlive && !calls.stopping
            if (!stays) head.headers().set(HttpHeaderNames.CONNECTION, "close")
        }

        private fun finish(written: ChannelFuture) = answered(ctx, stays, written)

        private fun seconds(wait: Duration): String = "%.3f".format(wait.toDouble(DurationUnit.SECONDS))
    }

    private companion object {
        const val MAX_EARLY_PARTS = 64
        val slowSender = Refusal.notRun(ResultCode.SLOW_SENDER)
    }
}
