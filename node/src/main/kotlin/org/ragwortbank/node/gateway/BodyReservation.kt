package org.ragwortbank.node.gateway

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil

/**
 * Counts the body of the request that a connection receives, from the head on by the length that it states.
 *
 * @property maxBodyBytes size above which a body is refused for its size
 * @property budget where it counts; null where bodies aren't bounded
 */
internal class BodyReservation(
    private val maxBodyBytes: Int,
    private val budget: () -> BodyBudget?,
) {
    private var current: BodyBudget? = null
    private var countedBytes = 0L
    private var receivedBytes = 0L

    /** Counts [part]; false if the body doesn't fit in. What can't be decoded holds nothing. */
    fun add(part: HttpObject): Boolean {
        if (part.decoderResult().isFailure) return true
        val beginFits = part !is HttpRequest || begin(part)
        return beginFits && (part !is HttpContent || receive(part.content().readableBytes()))
    }

    /** Stops counting the body. */
    fun release() = handOver()()

    /** Leaves the count to the caller, who must call the returned function when the body is no longer held. */
    fun handOver(): () -> Unit {
        val owner = current
        val bytes = countedBytes
        current = null
        countedBytes = 0
        return { owner?.change(bytes, 0) }
    }

    private fun begin(request: HttpRequest): Boolean {
        release()
        receivedBytes = 0
        current = budget()
        val statedBytes = HttpUtil.getContentLength(request, 0L)
        return count(statedBytes.coerceIn(0, maxBodyBytes.toLong()))
    }

    private fun receive(bytes: Int): Boolean {
        receivedBytes += bytes
        return receivedBytes <= countedBytes || receivedBytes > maxBodyBytes || count(receivedBytes)
    }

    private fun count(bytes: Long): Boolean {
        val fits = current?.change(countedBytes, bytes) ?: true
        if (fits && current != null) countedBytes = bytes
        return fits
    }
}
