package org.ragwortbank.node.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.CompositeByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import kotlinx.io.bytestring.encodeToByteString
import org.ragwortbank.core.model.AnswerHead
import org.ragwortbank.core.model.Header
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.node.metrics.BadInput
import org.ragwortbank.node.settings.HttpSettings
import java.util.concurrent.TimeUnit

/** Reads the requests of one connection, one after the other, each only after the answer to the one before. */
internal class CallHandler(
    private val settings: HttpSettings,
    private val decoder: CallDecoder,
    private val sink: CallSink,
) : ChannelInboundHandlerAdapter() {
    private var request: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var timeout: ScheduledFuture<*>? = null
    private var answering: RequestId? = null
    private var refused = false
    private var early: PersistentList<HttpObject> = persistentListOf()

    override fun channelActive(ctx: ChannelHandlerContext) = expectRequest(ctx)

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        when {
            message !is HttpObject || refused -> ReferenceCountUtil.release(message)
            answering != null -> keep(ctx, message)
            else -> read(ctx, message)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        answering?.let(sink::onCallerGone)
        clear()
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    /** Keeps parts of a request that came before the answer to the last one; too many end the connection. */
    private fun keep(ctx: ChannelHandlerContext, message: HttpObject) {
        early = early.add(message)
        if (early.size > MAX_EARLY_PARTS) ctx.close()
    }

    private fun read(ctx: ChannelHandlerContext, message: HttpObject) {
        val result = message.decoderResult()
        when {
            result.isFailure -> refuseMalformed(ctx, message, result.cause())
            else -> readPart(ctx, message)
        }
    }

    private fun readPart(ctx: ChannelHandlerContext, message: HttpObject) {
        if (message is HttpRequest) begin(ctx, message)
        if (message is HttpContent && !refused) add(ctx, message)
        if (message is LastHttpContent && !refused) complete(ctx)
    }

    private fun refuseMalformed(ctx: ChannelHandlerContext, message: HttpObject, cause: Throwable) {
        ReferenceCountUtil.release(message)
        val tooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        val code = if (tooLong) ResultCode.HEADERS_TOO_LARGE else ResultCode.MALFORMED_REQUEST
        refuseAndClose(ctx, Refusal.notRun(code), BadInput.HTTP)
    }

    private fun begin(ctx: ChannelHandlerContext, message: HttpRequest) {
        request = message
        body = ctx.alloc().compositeBuffer(Int.MAX_VALUE)
        expect(ctx, settings.receiveTimeout.inWholeMilliseconds) {
            refuseAndClose(ctx, Refusal.notRun(ResultCode.SLOW_SENDER), BadInput.HTTP)
        }
        if (HttpUtil.is100ContinueExpected(message)) ctx.writeAndFlush(CONTINUE.retainedDuplicate())
    }

    private fun add(ctx: ChannelHandlerContext, part: HttpContent) {
        val buffer = body
        when {
            buffer == null -> part.release()
            buffer.readableBytes() + part.content().readableBytes() > settings.maxBodyBytes -> {
                part.release()
                refuseAndClose(ctx, Refusal.notRun(ResultCode.BODY_TOO_LARGE, bodyTooLarge()), BadInput.BODY)
            }
            else -> buffer.addComponent(true, part.content())
        }
    }

    private fun bodyTooLarge(): String = "the body is longer than ${settings.maxBodyBytes} bytes"

    private fun complete(ctx: ChannelHandlerContext) {
        val message = request ?: return
        val bytes = body?.let(ByteBufUtil::getBytes) ?: ByteArray(0)
        clear()
        val id = sink.nextId()
        answering = id
        val writer = HttpAnswerWriter(ctx.channel(), id.toString(), HttpUtil.isKeepAlive(message), settings) {
            answered(ctx)
        }
        handle(decoder.decode(message, bytes, id), writer)
    }

    private fun handle(decoded: Decoded, writer: AnswerWriter) =
        when (decoded) {
            is Decoded.Bad -> {
                sink.onBadInput(BadInput.BODY, decoded.refusal)
                writer.refuse(decoded.refusal)
            }
            is Decoded.Models -> writeModels(decoded, writer)
            is Decoded.Good -> {
                val taken = sink.onCall(decoded.call, writer)
                if (!taken) writer.refuse(Refusal.notRun(ResultCode.OVERLOADED))
                Unit
            }
        }

    private fun writeModels(decoded: Decoded.Models, writer: AnswerWriter) {
        writer.begin(AnswerHead(OK, JSON, streamed = false))
        writer.continueWith(modelsBody(sink.configuration, decoded.credential).encodeToByteString())
        writer.end()
    }

    private fun answered(ctx: ChannelHandlerContext) {
        answering = null
        expectRequest(ctx)
        val waiting = early
        early = persistentListOf()
        waiting.forEach { channelRead(ctx, it) }
    }

    private fun expectRequest(ctx: ChannelHandlerContext) =
        expect(ctx, settings.idleTimeout.inWholeMilliseconds) { ctx.close() }

    private fun expect(ctx: ChannelHandlerContext, millis: Long, action: () -> Unit) {
        timeout?.cancel(false)
        timeout = ctx.executor().schedule(action, millis, TimeUnit.MILLISECONDS)
    }

    private fun refuseAndClose(ctx: ChannelHandlerContext, refusal: Refusal, kind: BadInput) {
        refused = true
        clear()
        sink.onBadInput(kind, refusal)
        HttpAnswerWriter(ctx.channel(), "none", keepAlive = false, settings) { }.refuse(refusal)
    }

    private fun clear() {
        timeout?.cancel(false)
        timeout = null
        request = null
        body?.release()
        body = null
        early.forEach { ReferenceCountUtil.release(it) }
        early = persistentListOf()
    }

    private companion object {
        const val MAX_EARLY_PARTS = 64
        const val OK = 200
        val JSON = persistentListOf(Header("Content-Type", "application/json"))
        val CONTINUE = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE).apply {
            headers().set(HttpHeaderNames.CONTENT_LENGTH, 0)
        }
    }
}
