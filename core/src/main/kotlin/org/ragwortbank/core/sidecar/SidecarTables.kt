package org.ragwortbank.core.sidecar

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Step
import org.ragwortbank.core.tick.Timestamp

/** A sidecar's step of a tick. */
typealias SidecarStep = Step<SidecarTables, SidecarEffect>

/**
 * All that a sidecar knows, as one immutable value.
 *
 * @property queue runs that wait, in order of arrival
 * @property runningCount runs that the upstream is running
 * @property fairQueue how far each account has been served
 * @property fencingToken number that orders to the engine carry; null until the key-value service has given one
 * @property isUpstreamReachable whether the upstream answered when it was last tried
 * @property isProbing whether an attempt to reach the upstream is under way
 * @property lastSentDigest the last report to the entries
 */
data class SidecarTables(
    val name: InstanceName,
    val settings: SidecarSettings = SidecarSettings(),
    val links: PersistentSet<LinkId> = persistentSetOf(),
    val runs: PersistentMap<RunId, Run> = persistentMapOf(),
    val queue: PersistentList<RunId> = persistentListOf(),
    val runningCount: Int = 0,
    val fairQueue: FairQueueState = FairQueueState(),
    val adapters: PersistentMap<AdapterRef, AdapterRow> = persistentMapOf(),
    val fencingToken: Long? = null,
    val isUpstreamReachable: Boolean = false,
    val isProbing: Boolean = false,
    val lastProbedAt: Timestamp? = null,
    val lastSentDigest: SidecarReport.Digest? = null,
    val digestSentAt: Timestamp? = null,
    val stoppingSince: Timestamp? = null,
) {
    /** Whether a graceful stop was asked for. */
    val isStopping: Boolean get() = stoppingSince != null

    /** Whether the engine holds [adapter] now; a plain service needs none. */
    fun isServable(adapter: AdapterRef?): Boolean =
        adapter == null || adapters[adapter]?.state == AdapterState.RESIDENT

    /** The tables with the row of [adapter] changed, if there is one. */
    fun updateAdapter(adapter: AdapterRef?, change: (AdapterRow) -> AdapterRow): SidecarTables {
        val row = adapters[adapter] ?: return this
        return if (adapter == null) this else copy(adapters = adapters.put(adapter, change(row)))
    }
}
