package org.ragwortbank.node.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.node.loop.TickObserver
import java.io.ByteArrayOutputStream

/** Prometheus metrics of one process. */
class NodeMetrics : TickObserver {
    private val registry = PrometheusRegistry()

    /** What a gateway may send to its upstreams. */
    val upstreams: UpstreamMetrics by lazy { UpstreamMetrics(registry) }

    private val tickDurations = Histogram.builder()
        .name("ragwortbank_tick_seconds")
        .help("Time taken by a tick with its effects")
        .classicOnly()
        .classicExponentialUpperBounds(FIRST_TICK_BUCKET_SECONDS, TICK_BUCKET_FACTOR, TICK_BUCKET_COUNT)
        .register(registry)

    private val tickInputs = counter("ragwortbank_tick_inputs_total", "Inputs handled by ticks")

    private val tickFailures =
        counter("ragwortbank_tick_failures_total", "Inputs dropped and effects not performed because of an error")

    private val refusals =
        counter("ragwortbank_refusals_total", "Requests without a complete answer", "code", "execution")

    private val answers = counter("ragwortbank_answers_total", "Requests that got a complete answer")

    private val badInput = counter("ragwortbank_bad_input_total", "Malformed or unexpected input", "kind")

    private val platformCalls = counter("ragwortbank_platform_calls_total", "Calls of the platform", "call", "outcome")

    private val openRequests = Gauge.builder()
        .name("ragwortbank_open_requests")
        .help("Requests or runs held at present")
        .register(registry)

    private val blockedTraits = Gauge.builder()
        .name("ragwortbank_blocked_traits")
        .help("Traits whose requests are refused because upstreams crash of them")
        .register(registry)

    private val evacuatedDomains = Gauge.builder()
        .name("ragwortbank_evacuated_domains")
        .help("Failure domains to whose upstreams nothing is sent because operators have emptied them")
        .register(registry)

    /** Metrics of the engine beside a placer. */
    val engine = EngineMetrics(registry)

    /** Metrics of what is held for slow readers. */
    val pressure = PressureMetrics(registry)

    override fun onTick(inputs: Int, nanos: Long) {
        tickDurations.observe(nanos / NANOS_PER_SECOND)
        tickInputs.inc(inputs.toLong())
    }

    override fun onTickFailed() = tickFailures.inc()

    /** Counts a request that got a complete answer. */
    fun recordAnswered() = answers.inc()

    /** Counts a request that was refused or failed before its answer was complete. */
    fun recordRefused(refusal: Refusal) =
        refusals.labelValues(refusal.code.number.toString(), refusal.execution.label).inc()

    /** Counts malformed or unexpected input. */
    fun recordBadInput(kind: BadInput) = badInput.labelValues(kind.label).inc()

    /** Counts a call to a platform service, and whether it was answered. */
    fun recordPlatformCall(call: PlatformCall, isAnswered: Boolean) =
        platformCalls.labelValues(call.label, if (isAnswered) "answered" else "unanswered").inc()

    /** Sets the number of open requests or runs. */
    fun setOpenRequests(count: Int) = openRequests.set(count.toDouble())

    /** Sets the number of traits whose requests are refused, and of failure domains that get no requests. */
    fun setRefusedAndSpared(blockedTraits: Int, evacuatedDomains: Int) {
        this.blockedTraits.set(blockedTraits.toDouble())
        this.evacuatedDomains.set(evacuatedDomains.toDouble())
    }

    /** Returns all metrics in the Prometheus text format. */
    fun toPrometheusText(): String {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, registry.scrape())
        return output.toString(Charsets.UTF_8)
    }

    @Suppress("SpreadOperator")
    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)

    private companion object {
        const val NANOS_PER_SECOND = 1e9
        const val FIRST_TICK_BUCKET_SECONDS = 0.00001
        const val TICK_BUCKET_FACTOR = 3.0
        const val TICK_BUCKET_COUNT = 10
    }
}
