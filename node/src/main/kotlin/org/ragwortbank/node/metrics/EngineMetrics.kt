package org.ragwortbank.node.metrics

import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Metrics of the engine beside a placer, registered in [registry]. */
class EngineMetrics(registry: PrometheusRegistry) {
    private val tokenMillis = Gauge.builder()
        .name("ragwortbank_engine_token_milliseconds")
        .help("Time for one token of a run at the engine beside a placer, as learned; 0 while it isn't known")
        .register(registry)

    /** Sets the learned time for one token of a run, in milliseconds. */
    fun setTokenMillis(millis: Double) = tokenMillis.set(millis)
}
