package org.ragwortbank.node.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.AnswerHead
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.node.settings.HttpSettings

/**
 * Writes an answer to an HTTP connection.
 *
 * A streamed answer goes out as server-sent events; any other is held back until it is complete, so that a failure
 * half-way can still be told by a status.
 */
internal class HttpAnswerWriter(
    private val channel: Channel,
    private val requestId: String,
    private val keepAlive: Boolean,
    private val settings: HttpSettings,
    private val finished: () -> Unit,
) : AnswerWriter {
    private var head: AnswerHead? = null
    private var held: PersistentList<ByteString> = persistentListOf()

    override fun begin(head: AnswerHead) {
        this.head = head
        if (head.streamed) write(streamHead(head))
    }

    override fun continueWith(data: ByteString) {
        if (head?.streamed == true) writeEvent(data) else held = held.add(data)
    }

    override fun end() {
        val known = head ?: return
        if (known.streamed) endStream(END_EVENT) else writeWhole(known, join())
    }

    override fun refuse(refusal: Refusal) {
        val text = ErrorBody.of(refusal).text().encodeToByteArray()
        if (head?.streamed == true) endStream(DATA + text + EVENT_END) else writeRefusal(refusal, text)
    }

    private fun streamHead(head: AnswerHead): HttpResponse {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
        addHeaders(response, head)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE)
        return response
    }

    private fun writeEvent(data: ByteString) {
        val event = Unpooled.wrappedBuffer(DATA, data.toByteArray(), EVENT_END)
        write(DefaultHttpContent(event))
    }

    private fun endStream(last: ByteArray) {
        write(DefaultHttpContent(Unpooled.wrappedBuffer(last)))
        finish(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    private fun join(): ByteBuf = Unpooled.wrappedBuffer(*held.map { it.toByteArray() }.toTypedArray())

    private fun writeWhole(head: AnswerHead, body: ByteBuf) {
        val status = HttpResponseStatus.valueOf(head.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        addHeaders(response, head)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        finish(response)
    }

    private fun writeRefusal(refusal: Refusal, text: ByteArray) {
        val status = HttpResponseStatus.valueOf(refusal.code.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(text))
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.size)
        response.headers().set(REQUEST_ID, requestId)
        refusal.retryAfter?.let {
            val seconds = (it.inWholeMilliseconds + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds.coerceAtLeast(1))
        }
        finish(response)
    }

    private fun addHeaders(response: HttpResponse, head: AnswerHead) {
        head.headers.forEach { response.headers().add(it.name, it.value) }
        response.headers().set(REQUEST_ID, requestId)
        if (!keepAlive) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun write(part: HttpObject) {
        channel.writeAndFlush(part)
        val unsent = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
        if (unsent > settings.maxUnsentBytes) channel.close()
    }

    private fun finish(last: HttpObject) {
        val written = channel.writeAndFlush(last)
        if (keepAlive) written.addListener { finished() } else written.addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val MILLIS_PER_SECOND = 1_000
        val DATA = "data: ".encodeToByteArray()
        val EVENT_END = "\n\n".encodeToByteArray()
        val END_EVENT = "data: [DONE]\n\n".encodeToByteArray()
    }
}
