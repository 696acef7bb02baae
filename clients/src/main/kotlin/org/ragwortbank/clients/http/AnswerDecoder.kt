package org.ragwortbank.clients.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes the answers on a connection during one exchange, for a request with [method].
 *
 * Its base class gets a head when all of it has arrived and is sound. A faulty upstream may send the beginning of one
 * answer and then a whole other one; the two must not be read as one head.
 */
internal class AnswerDecoder(private val method: HttpMethod) : HttpResponseDecoder(config) {
    private val headScanner = HeadScanner()
    private var isHeadExpected = true

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (isHeadExpected && !hasSoundHead(buffer)) return
        isHeadExpected = false
        super.decode(ctx, buffer, out)
        out.forEach(::rejectJoinedHead)
        if (out.lastOrNull() is LastHttpContent) isHeadExpected = true
    }

    /** The base class takes the end of a connection for that of an answer whose head it hasn't got. */
    override fun decodeLast(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        when {
            !isHeadExpected -> super.decodeLast(ctx, buffer, out)
            buffer.isReadable -> out.add(brokenOffHead())
        }
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        if (hasStatusLine(initialLine.last())) throw DecoderException(JOINED_HEAD)
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val status = (message as HttpResponse).status()
        val isFinal = status.codeClass() != HttpStatusClass.INFORMATIONAL
        return isFinal && method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
    }

    /** Whether [buffer] begins with a whole head; throws [DecoderException] when that can't be one. */
    private fun hasSoundHead(buffer: ByteBuf): Boolean {
        if (!buffer.isReadable) return false
        val first = buffer.getByte(buffer.readerIndex()).toInt().toChar()
        if (first != FIRST_CHARACTER) throw DecoderException("bytes that are no answer")
        return when (val scan = headScanner.scan(buffer)) {
            HeadScan.Incomplete -> false
            HeadScan.Sound -> true
            is HeadScan.Malformed -> throw DecoderException(scan.defect.toString())
        }
    }

    /** Fields after a body in chunks may be those of an answer whose begin the last chunk's line has swallowed. */
    private fun rejectJoinedHead(part: Any) {
        val cause = when {
            part is HttpResponse && part.headers().any { (_, value) -> hasStatusLine(value) } -> JOINED_HEAD
            part is LastHttpContent && !part.trailingHeaders().isEmpty -> "fields after the body of an answer"
            else -> null
        }
        if (cause != null) (part as HttpObject).decoderResult = DecoderResult.failure(DecoderException(cause))
    }

    private fun brokenOffHead(): HttpMessage {
        val cause = PrematureChannelClosureException("the connection was closed inside the head of an answer")
        return createInvalidMessage().apply { decoderResult = DecoderResult.failure(cause) }
    }

    private companion object {
        const val MAX_LINE_BYTES = 4_096
        const val MAX_HEADER_BYTES = 32_768
        const val MAX_CHUNK_BYTES = 16_384
        const val FIRST_CHARACTER = 'H'
        const val JOINED_HEAD = "the head of an answer inside that of another"

        /** Fields are judged before the base class gets them. */
        val config: HttpDecoderConfig = HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setValidateHeaders(false)
    }
}
