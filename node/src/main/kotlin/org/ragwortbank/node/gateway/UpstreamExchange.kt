package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import org.ragwortbank.clients.http.AnswerBodyScan
import org.ragwortbank.core.gateway.AttemptFailure
import org.ragwortbank.core.gateway.AttemptFailure.ConnectionLost
import org.ragwortbank.core.gateway.AttemptFailure.InvalidAnswer
import org.ragwortbank.core.gateway.ExchangeTrace
import org.ragwortbank.node.port.RequestDialect
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Notified of the progress of one attempt.
 *
 * The last call is exactly one of [onNotSent], [onComplete] and [onFailure], unless the attempt is cancelled.
 */
internal interface AttemptListener {
    /** The connection could not be opened, so that no byte was sent. */
    fun onNotSent(cause: String)

    /** What the exchange has read is now [trace]; called before the call that it leads to. */
    fun onTrace(trace: ExchangeTrace) = Unit

    /** The head of the answer was received. */
    fun onHead(response: HttpResponse)

    /** A part of the answer's body was received; the listener must retain [content] to keep it. */
    fun onContent(content: ByteBuf)

    /** The answer is complete. */
    fun onComplete()

    /** The connection was lost, or delivered something other than a valid answer. */
    fun onFailure(cause: AttemptFailure)
}

/** One request to an upstream and its answer. */
internal class UpstreamExchange(
    private val requestId: String,
    private val request: FullHttpRequest,
    private val listener: AttemptListener,
    private val dialect: RequestDialect,
    observer: ConnectionObserver,
    private val release: (Channel, Duration) -> Unit,
) {
    private var channel: Channel? = null
    private var isClosed = false
    private var head: HttpResponse? = null
    private var history = ConnectionHistory(number = 0)
    private var isSent = false
    private var isSkipping = false
    private var bytesBeforeHead = 0L
    private var bodyScan: AnswerBodyScan? = null
    private val skipped = SkippedAnswers(observer)
    private val matcher = AnswerMatcher(requestId, dialect)
    private val recorder = ExchangeRecorder(dialect, listener::onTrace)

    /** Whether the exchange is neither complete nor failed nor cancelled. */
    val isUnderWay: Boolean get() = !isClosed

    /**
     * Cancels the request and resets its connection, unless the exchange is over and the connection another's.
     *
     * A request in flight to an instance that is suspended or cut off from the network must not arrive later. Only a
     * reset discards it.
     */
    fun cancel() {
        if (isClosed) return
        isClosed = true
        val openChannel = channel
        if (openChannel == null) request.release()
        openChannel?.config()?.setOption(ChannelOption.SO_LINGER, 0)
        openChannel?.close()
    }

    /** Sets whether the answer is read from the connection; while it isn't, the upstream can't send more. */
    fun setReading(isReading: Boolean) {
        if (!isClosed) channel?.config()?.isAutoRead = isReading
    }

    /** The connection for the request was opened, or failed with [cause]. */
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
        val handler = opened.upstreamHandler
        history = handler.history
        handler.begin(opened, this, request.method())
        recorder.onConnection(history.nextUse)
        opened.writeAndFlush(request).addListener { sent ->
            isSent = sent.isSuccess
            if (!isSent) onFailure(ConnectionLost(sent.cause().message ?: "the request was not written"))
        }
    }

    /**
     * [count] bytes were received and are about to be decoded. Interim answers and answers to other requests may come
     * before the answer to this one, but not without end.
     */
    fun onBytesReceived(count: Int) {
        if (head != null) return
        bytesBeforeHead += count
        val isTooMuch = bytesBeforeHead > MAX_BYTES_BEFORE_HEAD
        if (isTooMuch) refuse("no answer within $MAX_BYTES_BEFORE_HEAD bytes")
    }

    /** The head of an answer was received. */
    fun onHead(response: HttpResponse) {
        val match = matcher.match(response, history)
        isSkipping = match != AnswerMatch.Own
        if (isClosed) return
        if (isSkipping) recorder.onSkipped(response) else recorder.onRead(response)
        when (match) {
            AnswerMatch.Interim -> Unit
            AnswerMatch.OfOtherRequest -> skipped.onHead()?.let { refuse(it) }
            is AnswerMatch.Refused -> refuse(match.cause)
            AnswerMatch.Own -> {
                head = response
                bodyScan = AnswerBodyScan(endsWithConnection = !response.hasFraming, dialect::namesRun)
                listener.onHead(response)
            }
        }
    }

    /** A part of an answer's body was received. */
    fun onContent(content: ByteBuf) {
        if (isClosed || !content.isReadable) return
        val defect = if (isSkipping) skipped.onContent(content) else bodyScan?.onContent(content)
        when {
            defect != null -> refuse(defect)
            !isSkipping -> listener.onContent(content)
        }
    }

    /** The last part of an answer was received; it counts once all that arrived with it is read. */
    fun onComplete(opened: Channel) {
        val answerHead = head
        if (isClosed || isSkipping || answerHead == null) return
        opened.config().isAutoRead = true
        opened.upstreamHandler.end(opened, CompletedExchange(requestId, answerHead.status().code())) { rest ->
            if (!isClosed) conclude(opened, answerHead, rest)
        }
    }

    private fun conclude(opened: Channel, answerHead: HttpResponse, rest: String) {
        val isReusable = HttpUtil.isKeepAlive(answerHead) && answerHead.hasFraming && skipped.count == 0 && isSent
        val isKept = isReusable && rest.isEmpty() && !opened.upstreamHandler.history.isUsedUp
        isClosed = true
        if (isKept) release(opened, dialect.reuseTimeout(answerHead)) else opened.close()
        val defect = bodyScan?.onEnd(rest)
        if (defect == null) listener.onComplete() else listener.onFailure(InvalidAnswer(defect))
    }

    /** The connection was lost or delivered bytes that are no valid answer. */
    fun onFailure(cause: AttemptFailure) {
        if (isClosed) return
        isClosed = true
        channel?.close()
        listener.onFailure(cause)
    }

    private companion object {
        /** Room for a whole answer to another request. */
        const val MAX_BYTES_BEFORE_HEAD = 2_097_152L
    }
}

private fun UpstreamExchange.refuse(cause: String) = onFailure(InvalidAnswer(cause))

/** Guards against an upstream that closes an idle connection while the next request is in flight. */
private val REUSE_MARGIN = 700.milliseconds
private val DEFAULT_REUSE_TIMEOUT = 1.seconds
private val MAX_REUSE_TIMEOUT = 20.seconds

private val HttpResponse.hasFraming: Boolean
    get() = HttpUtil.isContentLengthSet(this) || HttpUtil.isTransferEncodingChunked(this)

/** How long the connection that [response] came on may idle before its next use. */
private fun RequestDialect.reuseTimeout(response: HttpResponse): Duration {
    val upstreamTimeout = keepAliveTimeout(response) ?: return DEFAULT_REUSE_TIMEOUT
    return (upstreamTimeout - REUSE_MARGIN).coerceAtMost(MAX_REUSE_TIMEOUT)
}
