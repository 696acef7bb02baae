package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.AttemptFailure
import org.ragwortbank.core.gateway.ExchangeTrace
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.UpstreamAttempt
import org.ragwortbank.core.serving.UpstreamId

/**
 * Relays the answer of one attempt at an upstream to the caller.
 *
 * A non-streamed answer is buffered until it is complete or exceeds [MAX_BUFFERED_BYTES], or the process holds too much
 * of all answers; an event stream until its first event. Until then the request can still be retried at another
 * upstream.
 *
 * The answer may be held for longer, until [relay] is called. Then no more of it is read than the same bound, or
 * [MAX_HELD_STREAM_BYTES] of an event stream.
 */
internal class AttemptRelay(
    private val attempt: UpstreamAttempt,
    private val sink: AnswerSink,
    private val answerFacts: (HttpResponse) -> AnswerFacts,
    private val budget: BufferBudget,
    private val post: (GatewayInput) -> Unit,
) : AttemptListener {
    private var head: HttpResponse? = null
    private var facts: AnswerFacts? = null
    private val buffered = BufferedBody(budget)
    private val streamEnd = EventStreamEnd()
    private var isHeadPosted = false
    private var isRelaying = false
    private var isComplete = false
    private var isPaused = false

    /** What its exchange has read and passed on; null before it got a connection. */
    var trace: ExchangeTrace? = null
        private set

    private val isEventStream: Boolean
        get() = head?.headers()?.get(HttpHeaderNames.CONTENT_TYPE)
            ?.startsWith("text/event-stream", ignoreCase = true) == true

    private val isFull: Boolean
        get() = buffered.size > (if (isEventStream) MAX_HELD_STREAM_BYTES else MAX_BUFFERED_BYTES) || budget.isExhausted

    /** The HTTP exchange of this attempt. */
    lateinit var exchange: UpstreamExchange

    /** The upstream that the attempt is made at. */
    val upstream: UpstreamId get() = attempt.upstream

    /** Whether its exchange is neither complete nor failed nor cancelled. */
    val isUnderWay: Boolean get() = exchange.isUnderWay

    override fun onNotSent(cause: String) =
        post(GatewayInput.AttemptNotSent(attempt.number, attempt.attemptNumber, cause))

    override fun onTrace(trace: ExchangeTrace) {
        this.trace = trace
    }

    /** What the upstream says of itself counts at once, also if the rest of the answer never comes. */
    override fun onHead(response: HttpResponse) {
        head = response
        val received = answerFacts(response)
        facts = received
        received.notice?.let { post(GatewayInput.UpstreamNoticeReceived(attempt.incarnation, it)) }
    }

    override fun onContent(content: ByteBuf) {
        streamEnd.add(content)
        if (isRelaying) {
            sink.writeContent(content.retain())
            exchange.setReading(sink.isWritable)
        } else {
            buffered.add(content)
            if (isEventStream || isFull) postHead()
            isPaused = isPaused || (isHeadPosted && isFull)
            if (isPaused) exchange.setReading(false)
        }
    }

    override fun onComplete() {
        if (isEventStream && !streamEnd.isAfterWholeEvent) {
            onFailure(AttemptFailure.ConnectionLost("the stream ended inside an event or before the first"))
            return
        }
        isComplete = true
        postHead()
        if (isRelaying) completeAnswer()
    }

    override fun onFailure(cause: AttemptFailure) {
        buffered.release()
        post(GatewayInput.AttemptFailed(attempt.number, attempt.attemptNumber, cause, trace))
    }

    /** Writes the buffered part of the answer to the caller and relays the rest as it arrives. */
    fun relay() {
        val response = head ?: return
        isRelaying = true
        sink.onWritabilityChange { exchange.setReading(sink.isWritable) }
        if (isComplete) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, buffered.size)
        if (isComplete) response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING)
        sink.writeHead(response)
        trace = trace?.copy(passedOn = response.status().code())
        buffered.take()?.let(sink::writeContent)
        if (isPaused) exchange.setReading(sink.isWritable)
        if (isComplete) completeAnswer()
    }

    /** Cancels the exchange and drops the buffered part of the answer. */
    fun cancel() {
        buffered.release()
        exchange.cancel()
    }

    private fun completeAnswer() {
        sink.complete()
        post(GatewayInput.AnswerCompleted(attempt.number, attempt.attemptNumber, trace))
    }

    private fun postHead() {
        val received = facts
        if (isHeadPosted || received == null) return
        isHeadPosted = true
        post(GatewayInput.AnswerHeadReceived(attempt.number, attempt.attemptNumber, received, trace))
    }

    private companion object {
        const val MAX_BUFFERED_BYTES = 1_048_576
        const val MAX_HELD_STREAM_BYTES = 65_536
    }
}
