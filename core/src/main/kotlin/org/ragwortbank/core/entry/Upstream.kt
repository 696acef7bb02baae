package org.ragwortbank.core.entry

import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.Instance

/**
 * A row of an entry's upstreams table.
 *
 * @property seed the instance's seed for rendezvous hashing
 * @property isConnected whether the link to the sidecar works
 * @property digest the sidecar's last digest; null before the first on this link
 * @property outstanding open requests that this entry has dispatched there
 * @property dispatchedSinceDigest dispatches since the last digest, which does not count them yet
 */
data class Upstream(
    val instance: Instance,
    val seed: Long,
    val isConnected: Boolean = false,
    val digest: SidecarReport.Digest? = null,
    val outstanding: Int = 0,
    val dispatchedSinceDigest: Int = 0,
) {
    /** Whether new requests may be dispatched here. */
    val isAvailable: Boolean get() = isConnected && !instance.isLeaving && digest?.isAccepting == true

    /** Estimated number of requests queued or running here, from all entries. */
    val estimatedLoad: Int
        get() = maxOf(outstanding, (digest?.let { it.queuedCount + it.runningCount } ?: 0) + dispatchedSinceDigest)

    /** Whether the last digest lists [adapter] as resident in the engine. */
    fun hasResident(adapter: AdapterRef): Boolean = digest?.resident?.contains(adapter) == true
}
