package org.ragwortbank.clients.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
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
        if (VERSION_PREFIX in initialLine.last()) throw DecoderException(JOINED_HEAD)
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
        if (first != VERSION_PREFIX.first()) throw DecoderException("bytes that are no answer")
        isBetweenAnswers = false
    }

    private fun rejectJoinedHead(part: Any) {
        if (part !is HttpResponse) return
        val isJoined = part.headers().any { (_, value) -> VERSION_PREFIX in value }
        if (isJoined) part.decoderResult = DecoderResult.failure(DecoderException(JOINED_HEAD))
    }

    private companion object {
        const val MAX_LINE_BYTES = 4_096
        const val MAX_HEADER_BYTES = 32_768
        const val MAX_CHUNK_BYTES = 16_384
        const val VERSION_PREFIX = "HTTP/1."
        const val JOINED_HEAD = "the head of an answer inside that of another"
        val versions = setOf("HTTP/1.1", "HTTP/1.0")

        val config: HttpDecoderConfig = HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
    }
}
