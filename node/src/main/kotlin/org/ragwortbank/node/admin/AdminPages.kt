package org.ragwortbank.node.admin

/** Content of the admin pages. */
internal interface AdminPages {
    /** Whether the balancer should send requests here. */
    fun ready(): Boolean

    /** Metrics in the text format of Prometheus. */
    fun metrics(): String

    /** The process's state as JSON. */
    fun status(): String
}
