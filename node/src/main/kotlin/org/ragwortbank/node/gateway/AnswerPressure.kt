package org.ragwortbank.node.gateway

import io.netty.channel.EventLoop
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.GatewaySettings
import org.ragwortbank.core.pressure.HeldMeasure
import org.ragwortbank.core.pressure.PressureLimits
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.node.metrics.PressureMetrics
import java.util.concurrent.TimeUnit

/**
 * Measures what the connections of callers hold while any of them holds something, and performs what is decided about
 * it; used on the event loop's thread only.
 */
internal class AnswerPressure(
    private val loop: EventLoop,
    private val requests: RequestRegistry,
    private val metrics: PressureMetrics,
    private val postDeferred: (GatewayInput) -> Unit,
    private val postUrgent: (GatewayInput) -> Unit,
) {
    private var limits = PressureLimits()

    /** What the system may hold on its way to a caller; null where it isn't bounded. */
    val sendBufferBytes: Int? get() = if (requests.bodies == null) null else SEND_BUFFER_BYTES

    private var answers: PersistentMap<RequestNumber, HeldAnswer> = persistentMapOf()
    private var measuredBytes = 0L
    private var bytesSinceMeasure = 0L
    private var isScheduled = false

    /** Bounds what is held, or no longer bounds it, as [settings] ask for. */
    fun apply(settings: GatewaySettings) {
        limits = settings.pressure
        val isInForce = Feature.PRESSURE in settings.features
        requests.answerBudget.maxBytes = if (isInForce) limits.heldBackBytes else BufferBudget.DEFAULT_MAX_BYTES
        requests.onAnswerHeld = ::hold
        requests.bodies = when {
            isInForce -> requests.bodies?.also { it.limits = limits } ?: BodyBudget(limits)
            else -> null
        }
    }

    /** Performs an effect on an answer that is held; ignores effects of other kinds. */
    fun perform(effect: GatewayEffect) {
        when (effect) {
            is GatewayEffect.SetReadLimit -> answers[effect.number]?.setReadLimit(effect.bytes)
            is GatewayEffect.CutAnswer -> {
                metrics.recordCut(effect.reason)
                answers[effect.number]?.cut()
            }
            else -> Unit
        }
    }

    /** Sets the gauges to what is held now. */
    fun updateMetrics() {
        val measures = answers.values.mapNotNull { it.measure() }
        metrics.setHeldAnswers(measures)
        metrics.setHeldBodyBytes(requests.bodies?.heldBytes ?: 0)
    }

    /** Measures soon, and at once if the process may hold too much by now. */
    private fun hold(number: RequestNumber, answer: HeldAnswer, bytes: Int) {
        answers = answers.put(number, answer)
        bytesSinceMeasure += bytes
        val mayBeFull = measuredBytes + bytesSinceMeasure > limits.untakenBytes
        if (mayBeFull && bytesSinceMeasure > limits.connectionBytes) postUrgent(measure()) else schedule()
    }

    private fun schedule() {
        if (isScheduled) return
        isScheduled = true
        loop.schedule(::onTime, INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun onTime() {
        isScheduled = false
        postDeferred(measure())
    }

    private fun measure(): GatewayInput {
        answers.values.forEach { it.updateReading() }
        val measures = answers.mapNotNull { (number, answer) -> answer.measure()?.let { number to it } }
            .toMap<RequestNumber, HeldMeasure>()
            .toPersistentMap()
        answers = answers.filterKeys { it in measures }.toPersistentMap()
        measuredBytes = measures.values.sumOf { it.bytes }
        bytesSinceMeasure = 0
        if (answers.isNotEmpty()) schedule()
        return GatewayInput.HeldBytesMeasured(measures)
    }

    private companion object {
        const val INTERVAL_MILLIS = 100L

        /** What a link of 100 Mbit/s has on its way within 20 ms. */
        const val SEND_BUFFER_BYTES = 262_144
    }
}
