package org.ragwortbank.node.admin

/** Content of the admin pages. */
internal interface AdminPages {
    /** Whether the balancer should send requests here. */
    fun isReady(): Boolean

    /** Metrics in the text format of Prometheus. */
    fun metricsText(): String

    /** The process's state as JSON. */
    fun statusJson(): String
}
