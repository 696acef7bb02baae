package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import org.ragwortbank.node.port.RequestDialect
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Hears of one attempt; ends with exactly one of [onNotSent], [onComplete], [onFailure] unless it is cancelled. */
internal interface AttemptListener {
    /** No byte left this process. */
    fun onNotSent(cause: String)

    /** The head of the answer arrived. */
    fun onHead(response: HttpResponse)

    /** A part of the answer's body arrived; the listener must retain [content] to keep it. */
    fun onContent(content: ByteBuf)

    /** The answer is complete. */
    fun onComplete()

    /** The connection broke, or carried something that is no answer. */
    fun onFailure(cause: String)
}

/** One request on its way to an upstream and its answer on the way back. */
internal class UpstreamExchange(
    private val requestId: String,
    private val request: FullHttpRequest,
    private val listener: AttemptListener,
    private val dialect: RequestDialect,
    private val release: (Channel, Duration) -> Unit,
) {
    private var channel: Channel? = null
    private var isClosed = false
    private var head: HttpResponse? = null
    private var isSkipping = false
    private var skippedAnswers = 0

    /**
     * Gives the request up and resets its connection.
     *
     * A request that is still on its way, to an instance that is paused or cut off, must not arrive later; only a
     * reset takes it back.
     */
    fun cancel() {
        val openChannel = channel
        if (!isClosed && openChannel == null) request.release()
        isClosed = true
        openChannel?.config()?.setOption(ChannelOption.SO_LINGER, 0)
        openChannel?.close()
    }

    /** Whether the answer is read at once; while it isn't, the upstream must wait. */
    fun setReading(isReading: Boolean) {
        channel?.config()?.isAutoRead = isReading
    }

    /** The connection for the request is open, or failed for [cause]. */
    fun onConnected(opened: Channel, cause: Throwable?) {
        when {
            isClosed -> opened.close()
            cause != null -> {
                isClosed = true
                request.release()
                listener.onNotSent(cause.message ?: cause.javaClass.simpleName)
            }
            else -> sendOn(opened)
        }
    }

    /** Sends the request on [opened]. */
    fun sendOn(opened: Channel) {
        channel = opened
        opened.pipeline().get(UpstreamHandler::class.java).exchange = this
        opened.writeAndFlush(request).addListener { sent ->
            if (!sent.isSuccess) onFailure(sent.cause().message ?: "not written")
        }
    }

    /** The head of an answer arrived. */
    fun onHead(response: HttpResponse) {
        val informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        isSkipping = informational || dialect.answersOtherRequest(response, requestId)
        when {
            isClosed -> Unit
            !isSkipping -> {
                head = response
                listener.onHead(response)
            }
            !informational && ++skippedAnswers > MAX_SKIPPED_ANSWERS -> onFailure("answers to other requests")
        }
    }

    /** A part of an answer's body arrived. */
    fun onContent(content: ByteBuf) {
        if (!isClosed && !isSkipping && content.isReadable) listener.onContent(content)
    }

    /** An answer is complete. */
    fun onComplete(opened: Channel) {
        val answerHead = head
        if (isClosed || isSkipping || answerHead == null) return
        isClosed = true
        opened.pipeline().get(UpstreamHandler::class.java)?.exchange = null
        val hasFraming = HttpUtil.isContentLengthSet(answerHead) || HttpUtil.isTransferEncodingChunked(answerHead)
        val isReusable = HttpUtil.isKeepAlive(answerHead) && hasFraming && skippedAnswers == 0
        opened.config().isAutoRead = true
        if (isReusable) release(opened, reuseTimeout(answerHead)) else opened.close()
        listener.onComplete()
    }

    /** The connection broke or carried bytes that are no answer. */
    fun onFailure(cause: String) {
        if (isClosed) return
        isClosed = true
        channel?.close()
        listener.onFailure(cause)
    }

    private fun reuseTimeout(response: HttpResponse): Duration {
        val upstreamTimeout = dialect.keepAliveTimeout(response) ?: return DEFAULT_REUSE_TIMEOUT
        return (upstreamTimeout - REUSE_MARGIN).coerceAtMost(MAX_REUSE_TIMEOUT)
    }

    private companion object {
        const val MAX_SKIPPED_ANSWERS = 3

        /** An upstream may close an idle connection while the next request is on its way. */
        val REUSE_MARGIN = 700.milliseconds
        val DEFAULT_REUSE_TIMEOUT = 1.seconds
        val MAX_REUSE_TIMEOUT = 20.seconds
    }
}
