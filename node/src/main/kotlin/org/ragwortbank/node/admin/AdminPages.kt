package org.ragwortbank.node.admin

/** Provides the content of the admin pages. */
internal interface AdminPages {
    /** Whether the load balancer should send requests to this process. */
    fun isReady(): Boolean

    /** Returns the metrics in the Prometheus text format. */
    fun metricsText(): String

    /** Returns the state of the process as JSON. */
    fun statusJson(): String
}
