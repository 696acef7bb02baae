package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.serving.RequestNumber

/**
 * One send of a request, from the first byte of its answer to the last.
 *
 * An answer that comes as a whole is held back until it is complete, a stream until its first event; until then
 * another upstream can still be tried.
 */
internal class AttemptRelay(
    private val number: RequestNumber,
    private val attemptNumber: Int,
    private val sink: AnswerSink,
    private val answerFacts: (HttpResponse) -> AnswerFacts,
    private val post: (GatewayInput) -> Unit,
) : AttemptListener {
    private var head: HttpResponse? = null
    private val buffered = BufferedBody()
    private var isHeadPosted = false
    private var isRelaying = false
    private var isComplete = false

    /** The exchange that carries it. */
    lateinit var exchange: UpstreamExchange

    override fun onNotSent(cause: String) = post(GatewayInput.AttemptNotSent(number, attemptNumber, cause))

    override fun onHead(response: HttpResponse) {
        head = response
    }

    override fun onContent(content: ByteBuf) {
        if (isRelaying) {
            sink.writeContent(content.retain())
            exchange.setReading(sink.isWritable)
        } else {
            buffered.add(content)
            if (isEventStream() || buffered.size > MAX_BUFFERED_BYTES) postHead()
        }
    }

    override fun onComplete() {
        isComplete = true
        postHead()
        if (isRelaying) completeAnswer()
    }

    override fun onFailure(cause: String) {
        buffered.release()
        post(GatewayInput.AttemptFailed(number, attemptNumber, cause))
    }

    /** Passes the answer on to the caller, as far as it is here, and the rest as it comes. */
    fun relay() {
        val response = head ?: return
        isRelaying = true
        sink.onWritabilityChange { exchange.setReading(sink.isWritable) }
        if (isComplete) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, buffered.size)
        if (isComplete) response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING)
        sink.writeHead(response)
        buffered.take()?.let(sink::writeContent)
        if (isComplete) completeAnswer()
    }

    /** Gives the attempt up. */
    fun cancel() {
        buffered.release()
        exchange.cancel()
    }

    private fun completeAnswer() {
        sink.complete()
        post(GatewayInput.AnswerCompleted(number, attemptNumber))
    }

    private fun postHead() {
        val response = head
        if (isHeadPosted || response == null) return
        isHeadPosted = true
        post(GatewayInput.AnswerHeadReceived(number, attemptNumber, answerFacts(response)))
    }

    private fun isEventStream(): Boolean =
        head?.headers()?.get(HttpHeaderNames.CONTENT_TYPE)?.startsWith("text/event-stream", ignoreCase = true) == true

    private companion object {
        const val MAX_BUFFERED_BYTES = 1_048_576
    }
}
