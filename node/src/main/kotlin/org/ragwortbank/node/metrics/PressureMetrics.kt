package org.ragwortbank.node.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.ragwortbank.core.pressure.CutReason
import org.ragwortbank.core.pressure.HeldMeasure

/** Metrics of what a process holds for callers and upstreams that read slowly. */
class PressureMetrics(private val registry: PrometheusRegistry) {
    private val answerBytes = gauge("ragwortbank_held_answer_bytes", "Bytes of answers that callers have not taken")

    private val bodyBytes = gauge("ragwortbank_held_body_bytes", "Room taken by bodies of requests, in bytes")

    private val pausedAnswers = gauge("ragwortbank_paused_answers", "Answers whose upstream is not read at present")

    private val cutAnswers = Counter.builder()
        .name("ragwortbank_cut_answers_total")
        .help("Answers ended because their callers read too slowly")
        .labelNames("reason")
        .register(registry)

    /** Sets the gauges of answers to those in [measures]. */
    fun setHeldAnswers(measures: List<HeldMeasure>) {
        answerBytes.set(measures.sumOf { it.bytes }.toDouble())
        pausedAnswers.set(measures.count { !it.isUpstreamRead }.toDouble())
    }

    /** Sets the room that bodies take. */
    fun setHeldBodyBytes(bytes: Long) = bodyBytes.set(bytes.toDouble())

    /** Counts an answer that was ended. */
    fun recordCut(reason: CutReason) = cutAnswers.labelValues(reason.label).inc()

    private fun gauge(name: String, help: String): Gauge = Gauge.builder().name(name).help(help).register(registry)
}
