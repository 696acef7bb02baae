package org.ragwortbank.clients.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.DecoderResult
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
 * It is stricter than its base class about where an answer begins. A faulty upstream may send the beginning of one
 * answer and then a whole other one; the two must not be read as one head.
 */
internal class AnswerDecoder(private val method: HttpMethod) : HttpResponseDecoder(config) {
    private var isBetweenAnswers = true

    override fun decode(ctx: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (isBetweenAnswers && buffer.isReadable) beginAnswer(buffer)
        super.decode(ctx, buffer, out)
        out.forEach(::rejectJoinedHead)
        if (out.lastOrNull() is LastHttpContent) isBetweenAnswers = true
    }

    override fun createMessage(initialLine: Array<String>): HttpMessage {
        if (initialLine.first() !in versions) throw DecoderException("unknown protocol version")
        if (hasStatusLine(initialLine.last())) throw DecoderException(JOINED_HEAD)
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean {
        val status = (message as HttpResponse).status()
        val isFinal = status.codeClass() != HttpStatusClass.INFORMATIONAL
        return isFinal && method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
    }

    /** The base class skips blank and control characters before an answer. */
    private fun beginAnswer(buffer: ByteBuf) {
        val first = buffer.getByte(buffer.readerIndex()).toInt().toChar()
        if (first != FIRST_CHARACTER) throw DecoderException("bytes that are no answer")
        isBetweenAnswers = false
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

    private companion object {
        const val MAX_LINE_BYTES = 4_096
        const val MAX_HEADER_BYTES = 32_768
        const val MAX_CHUNK_BYTES = 16_384
        const val FIRST_CHARACTER = 'H'
        const val JOINED_HEAD = "the head of an answer inside that of another"
        val versions = setOf("HTTP/1.1", "HTTP/1.0")

        val config: HttpDecoderConfig = HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
    }
}
