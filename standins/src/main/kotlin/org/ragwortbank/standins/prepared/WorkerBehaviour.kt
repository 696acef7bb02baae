package org.ragwortbank.standins.prepared

import org.ragwortbank.core.model.Header

/**
 * What a worker says of itself in its answers, and how it streams.
 *
 * @property isLeaving whether it says that it is about to stop
 * @property retryAfter seconds for which it wants no requests, so that it turns plain ones away; null to serve them
 * @property stream how it streams to plain requests; null to answer them at once
 */
data class WorkerBehaviour(
    val isLeaving: Boolean = false,
    val retryAfter: String? = null,
    val stream: StreamScript? = null,
) {
    /** Header fields that say so. */
    val headers: List<Header> get() = listOfNotNull(
        Header("Server-Leaving", "1").takeIf { isLeaving },
        retryAfter?.let { Header("Retry-After", it) },
    )
}
