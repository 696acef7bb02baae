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
internal class Attempt(
    private val number: RequestNumber,
    private val attempt: Int,
    private val sink: AnswerSink,
    private val facts: (HttpResponse) -> AnswerFacts,
    private val post: (GatewayInput) -> Unit,
) : AttemptListener {
    private var head: HttpResponse? = null
    private val held = HeldBody()
    private var told = false
    private var relaying = false
    private var complete = false

    /** The exchange that carries it. */
    lateinit var exchange: UpstreamExchange

    override fun notSent(cause: String) = post(GatewayInput.AttemptNotSent(number, attempt, cause))

    override fun head(response: HttpResponse) {
        head = response
    }

    override fun content(content: ByteBuf) {
        if (relaying) {
            sink.content(content.retain())
            exchange.read(sink.writable)
        } else {
            held.add(content)
            if (streams() || held.size > MAX_HELD_BYTES) tell()
        }
    }

    override fun ended() {
        complete = true
        tell()
        if (relaying) finish()
    }

    override fun broke(cause: String) {
        held.drop()
        post(GatewayInput.AttemptFailed(number, attempt, cause))
    }

    /** Passes the answer on to the caller, as far as it is here, and the rest as it comes. */
    fun relay() {
        val response = head ?: return
        relaying = true
        sink.onWritability { exchange.read(sink.writable) }
        if (complete) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, held.size)
        if (complete) response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING)
        sink.begin(response)
        held.take()?.let(sink::content)
        if (complete) finish()
    }

    /** Gives the attempt up. */
    fun cancel() {
        held.drop()
        exchange.cancel()
    }

    private fun finish() {
        sink.end()
        post(GatewayInput.AnswerCompleted(number, attempt))
    }

    private fun tell() {
        val response = head
        if (told || response == null) return
        told = true
        post(GatewayInput.AnswerHeadReceived(number, attempt, facts(response)))
    }

    private fun streams(): Boolean =
        head?.headers()?.get(HttpHeaderNames.CONTENT_TYPE)?.startsWith("text/event-stream", ignoreCase = true) == true

    private companion object {
        const val MAX_HELD_BYTES = 1_048_576
    }
}
