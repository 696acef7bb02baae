package org.ragwortbank.node.gateway

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion

/**
 * A complete request of a caller.
 *
 * @property onReleased called when the request and its body are no longer held
 */
internal class CallerRequest(
    val head: HttpRequest,
    val body: ByteArray,
    val onReleased: () -> Unit = {},
) {
    val headers: HttpHeaders get() = head.headers()

    /** Whether the caller's version of HTTP has the chunked transfer coding. */
    val knowsChunks: Boolean get() = head.protocolVersion() >= HttpVersion.HTTP_1_1

    /** The request to send to an upstream, with [upstreamHeaders] in place of the caller's. */
    fun toUpstreamRequest(upstreamHeaders: HttpHeaders): FullHttpRequest {
        val content = Unpooled.wrappedBuffer(body)
        val trailers = EmptyHttpHeaders.INSTANCE
        val message =
            DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), content, upstreamHeaders, trailers)
        val hasBody = body.isNotEmpty() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        if (hasBody) message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        return message
    }
}
