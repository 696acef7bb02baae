package org.ragwortbank.node.gateway

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpVersion
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.UpstreamAttempt
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.metrics.BadInput
import org.ragwortbank.node.metrics.NodeMetrics
import org.ragwortbank.node.port.RequestDialect

/** The requests under way: their bytes, their callers, their sends. Performs what the systems decide about them. */
internal class GatewayCalls(
    private val dialect: RequestDialect,
    private val connections: UpstreamConnections,
    private val metrics: NodeMetrics,
    private val now: () -> Timestamp,
    private val post: (GatewayInput) -> Unit,
) : FrontCalls {
    private var open: PersistentMap<RequestNumber, OpenCall> = persistentMapOf()
    private var numbers: PersistentMap<AnswerSink, RequestNumber> = persistentMapOf()
    private var last = 0L

    override var stopping = false

    override fun arrived(request: FrontRequest, sink: AnswerSink) {
        val call = dialect.decode(request.head)
        if (call == null) {
            unreadable(malformed)
            sink.refuse(malformed)
            return
        }
        val number = RequestNumber(++last)
        open = open.put(number, OpenCall(call.id, request, sink))
        numbers = numbers.put(sink, number)
        post(GatewayInput.CallArrived(number, call))
    }

    override fun gone(sink: AnswerSink) {
        val number = numbers[sink] ?: return
        post(GatewayInput.CallerDisconnected(number))
    }

    override fun unreadable(refusal: Refusal) {
        metrics.badInput(BadInput.HTTP)
        Logs.http.info("request refused: {} {}: {}", refusal.code.number, refusal.code, refusal.detail)
    }

    /** Sends a request to an upstream. */
    fun send(sending: UpstreamAttempt) {
        val call = open[sending.number] ?: return
        val attempt = Attempt(sending.number, sending.attemptNumber, call.sink, dialect::answerFacts, post)
        val message = message(
            call.request,
            dialect.upstreamHeaders(call.request.headers, sending, sending.deadline - now()),
        )
        open = open.put(sending.number, call.copy(attempt = attempt, attemptNumber = sending.attemptNumber))
        attempt.exchange = connections.send(sending.endpoint, call.id, message, attempt)
    }

    /** Performs an effect on the answer of a request. */
    fun perform(effect: GatewayEffect) {
        when (effect) {
            is GatewayEffect.Relay -> attempt(effect.number, effect.attempt)?.relay()
            is GatewayEffect.CancelAttempt -> attempt(effect.number, effect.attempt)?.cancel()
            is GatewayEffect.RemoveRequest -> finish(effect.number)
            is GatewayEffect.Refuse -> finish(effect.number)?.let { refuse(it, effect.refusal) }
            is GatewayEffect.AbortAnswer -> finish(effect.number)?.let { breakOff(it, effect.refusal) }
            else -> Unit
        }
    }

    private fun refuse(call: OpenCall, refusal: Refusal) {
        metrics.refused(refusal)
        call.sink.refuse(refusal)
    }

    private fun breakOff(call: OpenCall, refusal: Refusal) {
        metrics.refused(refusal)
        call.sink.breakOff()
    }

    private fun attempt(number: RequestNumber, attempt: Int): Attempt? =
        open[number]?.takeIf { it.attemptNumber == attempt }?.attempt

    private fun finish(number: RequestNumber): OpenCall? {
        val call = open[number]
        open = open.remove(number)
        if (call != null) numbers = numbers.remove(call.sink)
        return call
    }

    private fun message(request: FrontRequest, headers: HttpHeaders): FullHttpRequest {
        val head = request.head
        val body = Unpooled.wrappedBuffer(request.body)
        val none = EmptyHttpHeaders.INSTANCE
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), body, headers, none)
        val hasBody = request.body.isNotEmpty() || request.headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        if (hasBody) message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        return message
    }

    /** A request under way with its newest send. */
    private data class OpenCall(
        val id: String,
        val request: FrontRequest,
        val sink: AnswerSink,
        val attempt: Attempt? = null,
        val attemptNumber: Int = 0,
    )

    private companion object {
        val malformed = Refusal.notRun(ResultCode.MALFORMED_REQUEST, "a header field can't be understood or is missing")
    }
}
