package org.ragwortbank.node.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
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

/**
 * Assembles one request at a time from its parts, with a bounded body. Not thread-safe.
 *
 * The body is a copy: each of very many small parts would keep the whole buffer that it was read into.
 */
internal class RequestAssembler(private val maxBodyBytes: Int) {
    private var request: HttpRequest? = null
    private var body: ByteBuf? = null

    /** Adds [part] and takes over its reference. */
    fun addPart(ctx: ChannelHandlerContext, part: HttpObject): Assembly =
        when {
            part.decoderResult().isFailure -> rejectUndecodable(part)
            else -> addDecoded(ctx, part)
        }

    /** Discards the parts of an incomplete request. */
    fun clear() {
        request = null
        body?.release()
        body = null
    }

    private fun addDecoded(ctx: ChannelHandlerContext, part: HttpObject): Assembly {
        if (part is HttpRequest) startRequest(ctx, part)
        val fits = part !is HttpContent || addContent(part)
        return when {
            !fits ->
                Assembly.Rejected(Refusal.notRun(ResultCode.BODY_TOO_LARGE, "expected at most $maxBodyBytes bytes"))
            part is LastHttpContent -> complete()
            else -> Assembly.Incomplete
        }
    }

    private fun startRequest(ctx: ChannelHandlerContext, head: HttpRequest) {
        clear()
        request = head
        body = ctx.alloc().buffer()
    }

    private fun addContent(part: HttpContent): Boolean {
        val buffered = body
        val size = (buffered?.readableBytes() ?: 0) + part.content().readableBytes()
        val fits = buffered != null && size <= maxBodyBytes
        if (buffered != null && fits) buffered.writeBytes(part.content())
        part.release()
        return fits
    }

    private fun complete(): Assembly {
        val head = request
        val bytes = body?.let(ByteBufUtil::getBytes) ?: ByteArray(0)
        clear()
        return when (head) {
            null -> Assembly.Rejected(Refusal.notRun(ResultCode.MALFORMED_REQUEST))
            else -> Assembly.Complete(head, bytes)
        }
    }

    private fun rejectUndecodable(part: HttpObject): Assembly {
        val cause = part.decoderResult().cause()
        ReferenceCountUtil.release(part)
        val isTooLong = cause is TooLongHttpHeaderException || cause is TooLongHttpLineException
        val code = if (isTooLong) ResultCode.HEADERS_TOO_LARGE else ResultCode.MALFORMED_REQUEST
        return Assembly.Rejected(Refusal.notRun(code))
    }
}

/** Result of adding a part to a request. */
internal sealed interface Assembly {
    /** Further parts are expected. */
    data object Incomplete : Assembly

    /** The request has arrived completely. */
    class Complete(val request: HttpRequest, val body: ByteArray) : Assembly

    /** The request is not acceptable, and the connection can't be used for further requests. */
    data class Rejected(val refusal: Refusal) : Assembly
}
