package org.ragwortbank.node.http

import io.netty.buffer.ByteBufUtil
import io.netty.buffer.CompositeByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode

/** Puts the parts of one request together, within a bound on the body; used by one thread. */
internal class RequestAssembler(private val maxBodyBytes: Int) {
    private var request: HttpRequest? = null
    private var body: CompositeByteBuf? = null

    /** Adds [part], which this function releases. */
    fun add(ctx: ChannelHandlerContext, part: HttpObject): Assembly =
        when {
            part.decoderResult().isFailure -> malformed(part)
            else -> addSound(ctx, part)
        }

    /** Drops what has been put together so far. */
    fun clear() {
        request = null
        body?.release()
        body = null
    }

    private fun addSound(ctx: ChannelHandlerContext, part: HttpObject): Assembly {
        if (part is HttpRequest) begin(ctx, part)
        val fits = part !is HttpContent || addContent(part)
        return when {
            !fits -> Assembly.Bad(Refusal.notRun(ResultCode.BODY_TOO_LARGE, "expected at most $maxBodyBytes bytes"))
            part is LastHttpContent -> complete()
            else -> Assembly.Partial
        }
    }

    private fun begin(ctx: ChannelHandlerContext, head: HttpRequest) {
        clear()
        request = head
        body = ctx.alloc().compositeBuffer(Int.MAX_VALUE)
    }

    private fun addContent(part: HttpContent): Boolean {
        val known = body
        val size = (known?.readableBytes() ?: 0) + part.content().readableBytes()
        val fits = known != null && size <= maxBodyBytes
        if (known == null || !fits) part.release() else known.addComponent(true, part.content())
        return fits
    }

    private fun complete(): Assembly {
        val head = request
        val bytes = body?.let(ByteBufUtil::getBytes) ?: ByteArray(0)
        clear()
        return when (head) {
            null -> Assembly.Bad(Refusal.notRun(ResultCode.MALFORMED_REQUEST))
            else -> Assembly.Whole(head, bytes)
        }
    }

    private fun malformed(part: HttpObject): Assembly {
        val cause = part.decoderResult().cause()
        ReferenceCountUtil.release(part)
        val tooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        val code = if (tooLong) ResultCode.HEADERS_TOO_LARGE else ResultCode.MALFORMED_REQUEST
        return Assembly.Bad(Refusal.notRun(code))
    }
}

/** How far a request has been put together. */
internal sealed interface Assembly {
    /** More is expected. */
    data object Partial : Assembly

    /** All of the request has arrived. */
    class Whole(val request: HttpRequest, val body: ByteArray) : Assembly

    /** The request is not acceptable and the connection can't be used further. */
    data class Bad(val refusal: Refusal) : Assembly
}
