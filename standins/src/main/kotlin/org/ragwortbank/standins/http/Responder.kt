package org.ragwortbank.standins.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import org.ragwortbank.core.model.Header
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Sends the response to one request. */
class Responder(private val channel: Channel) {
    /** Whether the caller is still connected. */
    val isConnected: Boolean get() = channel.isActive

    /** Sends a complete response; [headers] are added to the content type, content length and entity tag. */
    fun send(
        status: Int,
        body: String,
        contentType: String = "application/json",
        eTag: String? = null,
        headers: List<Header> = emptyList(),
    ) {
        val bytes = Unpooled.copiedBuffer(body, Charsets.UTF_8)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), bytes)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.readableBytes())
        eTag?.let { response.headers().set(HttpHeaderNames.ETAG, it) }
        headers.forEach { response.headers().set(it.name, it.value) }
        channel.writeAndFlush(response)
    }

    /** Sends the head of a response with status 200 whose body follows in chunks. */
    fun beginChunked(contentType: String, headers: List<Header> = emptyList()) {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        headers.forEach { response.headers().set(it.name, it.value) }
        channel.writeAndFlush(response)
    }

    /** Sends the next chunk of the body. */
    fun sendChunk(text: String) {
        channel.writeAndFlush(DefaultHttpContent(Unpooled.copiedBuffer(text, Charsets.UTF_8)))
    }

    /** Ends a response that [beginChunked] began. */
    fun endChunked() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    /** Closes the connection without sending a response. */
    fun closeConnection() {
        channel.close()
    }

    /** Runs [action] after [delay] on the event loop of the connection. */
    fun schedule(delay: Duration, action: () -> Unit) {
        channel.eventLoop().schedule(action, delay.inWholeMicroseconds, TimeUnit.MICROSECONDS)
    }

    /** Runs [action] once the connection is closed by either side. */
    fun onDisconnect(action: () -> Unit) {
        channel.closeFuture().addListener { action() }
    }
}
