package org.ragwortbank.node.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.result.Refusal
import kotlin.time.Duration

/** Response header that carries the request ID, which the log lines about the request have too. */
private const val REQUEST_ID_HEADER = "X-Request-Id"

private const val MILLIS_PER_SECOND = 1_000

/**
 * Builds responses to the request [requestId]; they announce the end of the connection where it doesn't stay open.
 *
 * @property keepAlive whether the caller allows the connection to be reused
 * @property knowsChunks whether the caller's version of HTTP has the chunked transfer coding
 */
internal class ResponseFactory(
    private val requestId: String,
    private val keepAlive: Boolean,
    private val knowsChunks: Boolean = true,
) {
    /** Whether the connection stays open after a response with [head], or after a refusal without one. */
    fun staysOpenAfter(head: ResponseHead?): Boolean = keepAlive && (knowsChunks || head?.isStreamed != true)

    /** Head of a response whose body follows, in chunks or until the connection ends. */
    fun streamedHead(head: ResponseHead): HttpResponse {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status))
        setCommonHeaders(response, head)
        if (knowsChunks) response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE)
        return response
    }

    /** Response with its complete body. */
    fun fullResponse(head: ResponseHead, body: ByteBuf): FullHttpResponse {
        val status = HttpResponseStatus.valueOf(head.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        setCommonHeaders(response, head)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        return response
    }

    /** Response that reports [refusal], with the JSON [text] as its body. */
    fun refusalResponse(refusal: Refusal, text: ByteArray): FullHttpResponse {
        val status = HttpResponseStatus.valueOf(refusal.code.status)
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(text))
        setCommonHeaders(response, null)
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.size)
        refusal.retryAfter?.let { response.headers().set(HttpHeaderNames.RETRY_AFTER, secondsRoundedUp(it)) }
        return response
    }

    private fun setCommonHeaders(response: HttpResponse, head: ResponseHead?) {
        head?.headers?.forEach { response.headers().add(it.name, it.value) }
        response.headers().set(REQUEST_ID_HEADER, requestId)
        if (!staysOpenAfter(head)) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private fun secondsRoundedUp(wait: Duration): Long =
        ((wait.inWholeMilliseconds + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND).coerceAtLeast(1)
}
