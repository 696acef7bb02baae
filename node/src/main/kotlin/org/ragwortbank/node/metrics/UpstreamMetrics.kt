package org.ragwortbank.node.metrics

import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.pacing.coldUpstreamCount
import org.ragwortbank.core.pacing.limitedUpstreams

/** Prometheus metrics of what a gateway may send to upstreams that are cold or not at full pace. */
class UpstreamMetrics(registry: PrometheusRegistry) {
    private val limits = Gauge.builder()
        .name("ragwortbank_upstream_pace_limit")
        .help("Requests that this gateway may have under way at an upstream that is not at full pace")
        .labelNames("upstream")
        .register(registry)

    private val underWay = Gauge.builder()
        .name("ragwortbank_upstream_pace_under_way")
        .help("Requests of this gateway under way at an upstream that is not at full pace")
        .labelNames("upstream")
        .register(registry)

    private val cold = Gauge.builder()
        .name("ragwortbank_cold_upstreams")
        .help("Upstreams that are cold")
        .register(registry)

    /** Sets all gauges to the state in [tables]; upstreams that left or are at full pace have none. */
    fun update(tables: GatewayTables) {
        limits.clear()
        underWay.clear()
        tables.limitedUpstreams(MAX_UPSTREAMS).forEach { upstream ->
            limits.labelValues(upstream.id.value).set(upstream.limit)
            underWay.labelValues(upstream.id.value).set(upstream.underWay.toDouble())
        }
        cold.set(tables.coldUpstreamCount.toDouble())
    }

    private companion object {
        const val MAX_UPSTREAMS = 64
    }
}
