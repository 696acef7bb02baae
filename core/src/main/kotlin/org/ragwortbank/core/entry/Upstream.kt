package org.ragwortbank.core.entry

import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.Instance

/**
 * A row of an entry's upstreams table.
 *
 * @property seed the instance's seed for rendezvous hashing
 * @property isConnected whether the link to the sidecar works
 * @property digest the sidecar's last report; null before the first
 * @property outstanding requests that this entry has dispatched there and that are not finished
 * @property dispatchedSinceDigest dispatches that the last report can't contain yet
 */
data class Upstream(
    val instance: Instance,
    val seed: Long,
    val isConnected: Boolean = false,
    val digest: SidecarReport.Digest? = null,
    val outstanding: Int = 0,
    val dispatchedSinceDigest: Int = 0,
) {
    /** Whether new work may be sent here. */
    val isAvailable: Boolean get() = isConnected && !instance.leaving && digest?.accepting == true

    /** Estimate of the requests that wait or run here, over all entries. */
    val estimatedLoad: Int
        get() = maxOf(outstanding, (digest?.let { it.queued + it.running } ?: 0) + dispatchedSinceDigest)

    /** Whether the engine is known to hold [adapter]. */
    fun hasResident(adapter: AdapterRef): Boolean = digest?.resident?.contains(adapter) == true
}
