package org.ragwortbank.core.entry

import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.Instance

/**
 * A row of an entry's upstreams table.
 *
 * @property seed the instance's seed for rendezvous hashing
 * @property connected whether the link to the sidecar works
 * @property digest the sidecar's last report; null before the first
 * @property outstanding requests that this entry has dispatched there and that are not finished
 * @property sentSinceDigest dispatches that the last report can't contain yet
 */
data class Upstream(
    val instance: Instance,
    val seed: Long,
    val connected: Boolean = false,
    val digest: SidecarReport.Digest? = null,
    val outstanding: Int = 0,
    val sentSinceDigest: Int = 0,
) {
    /** Whether new work may be sent here. */
    val accepting: Boolean get() = connected && !instance.isLeaving && digest?.isAccepting == true

    /** Estimate of the requests that wait or run here, over all entries. */
    val load: Int get() = maxOf(outstanding, (digest?.let { it.queuedCount + it.runningCount } ?: 0) + sentSinceDigest)

    /** Whether the engine is known to hold [adapter]. */
    fun holds(adapter: AdapterRef): Boolean = digest?.resident?.contains(adapter) == true
}
