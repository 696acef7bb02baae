package org.ragwortbank.node.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.UpstreamAttempt
import org.ragwortbank.core.gateway.describe
import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.metrics.BadInput
import org.ragwortbank.node.metrics.NodeMetrics
import org.ragwortbank.node.port.RequestDialect

/**
 * Holds the requests in progress with their callers' connections and their latest attempts, and performs the effects
 * that the systems decide for them.
 */
internal class RequestRegistry(
    private val dialect: RequestDialect,
    private val connections: UpstreamConnections,
    private val metrics: NodeMetrics,
    private val now: () -> Timestamp,
    private val write: (LogLine) -> Unit = Logs::write,
    private val post: (GatewayInput) -> Unit,
) : CallerListener {
    private var openRequests: PersistentMap<RequestNumber, OpenRequest> = persistentMapOf()
    private var numbersBySink: PersistentMap<AnswerSink, RequestNumber> = persistentMapOf()
    private var lastNumber = 0L

    /** Counts what is held back of all answers. */
    val answerBudget = BufferBudget()

    /** Called with an answer that its caller doesn't take at once, and with the size of the part. */
    var onAnswerHeld: (RequestNumber, HeldAnswer, Int) -> Unit = { _, _, _ -> }

    override var isStopping = false

    override var bodies: BodyBudget? = null

    override fun onHeld(sink: AnswerSink, answer: HeldAnswer, bytes: Int) {
        onAnswerHeld(numbersBySink[sink] ?: RequestNumber(++lastNumber), answer, bytes)
    }

    override fun onRequest(request: CallerRequest, sink: AnswerSink) {
        val call = dialect.decode(request.head)
        if (call == null) {
            onUnreadableRequest(malformedRequest)
            sink.writeRefusal(malformedRequest)
            request.onReleased()
            return
        }
        val number = RequestNumber(++lastNumber)
        openRequests = openRequests.put(number, OpenRequest(call.id, request, sink))
        numbersBySink = numbersBySink.put(sink, number)
        post(GatewayInput.CallArrived(number, call.copy(fingerprint = fingerprintOf(call, request))))
    }

    override fun onCallerDisconnected(sink: AnswerSink) {
        val number = numbersBySink[sink] ?: return
        post(GatewayInput.CallerDisconnected(number))
    }

    override fun onUnreadableRequest(refusal: Refusal) {
        val isBad = refusal.code != ResultCode.OVERLOADED
        if (isBad) metrics.recordBadInput(BadInput.HTTP) else metrics.recordRefused(refusal)
        Logs.http.info("request refused: {} {}: {}", refusal.code.number, refusal.code, refusal.detail)
    }

    /** Sends the request of [attempt] to its upstream. */
    fun send(attempt: UpstreamAttempt) {
        val call = openRequests[attempt.number] ?: return
        val relay = AttemptRelay(attempt, call.sink, dialect::answerFacts, answerBudget, post)
        val headers = dialect.upstreamHeaders(call.request.headers, attempt, attempt.deadline - now())
        val message = call.request.toUpstreamRequest(headers)
        openRequests =
            openRequests.put(attempt.number, call.copy(relay = relay, attemptNumber = attempt.attemptNumber))
        relay.exchange = connections.send(attempt.endpoint, call.id, message, relay)
    }

    /** Performs an effect on the answer to a request; ignores effects of other kinds. */
    fun perform(effect: GatewayEffect) {
        when (effect) {
            is GatewayEffect.Relay -> relay(effect.number, effect.attempt)?.relay()
            is GatewayEffect.CancelAttempt -> cancel(effect)
            is GatewayEffect.RemoveRequest -> remove(effect.number)
            is GatewayEffect.Refuse -> end(effect.number, effect.refusal) { it.writeRefusal(effect.refusal) }
            is GatewayEffect.AbortAnswer -> end(effect.number, effect.refusal) { it.abort() }
            else -> Unit
        }
    }

    private fun cancel(effect: GatewayEffect.CancelAttempt) {
        val call = openRequests[effect.number]
        val relay = relay(effect.number, effect.attempt)
        if (call == null || relay == null) return
        if (relay.isUnderWay) write(LogLine(LogPart.ROUTING, describeCancellation(call.id, relay, effect)))
        relay.cancel()
    }

    private fun end(number: RequestNumber, refusal: Refusal, write: (AnswerSink) -> Unit) {
        val call = remove(number) ?: return
        metrics.recordRefused(refusal)
        write(call.sink)
    }

    private fun relay(number: RequestNumber, attemptNumber: Int): AttemptRelay? =
        openRequests[number]?.takeIf { it.attemptNumber == attemptNumber }?.relay

    private fun remove(number: RequestNumber): OpenRequest? {
        val call = openRequests[number]
        openRequests = openRequests.remove(number)
        if (call != null) numbersBySink = numbersBySink.remove(call.sink)
        call?.request?.onReleased()
        return call
    }

    /** A request in progress with its latest attempt. */
    private data class OpenRequest(
        val id: String,
        val request: CallerRequest,
        val sink: AnswerSink,
        val relay: AttemptRelay? = null,
        val attemptNumber: Int = 0,
    )

    private companion object {
        val malformedRequest =
            Refusal.notRun(ResultCode.MALFORMED_REQUEST, "a header field can't be understood or is missing")
    }
}

private fun describeCancellation(id: String, relay: AttemptRelay, effect: GatewayEffect.CancelAttempt): String =
    "request $id cancelled at ${relay.upstream}: ${effect.cause.label}; " +
        "attempt ${effect.attempt}, ${relay.trace.describe()}"
