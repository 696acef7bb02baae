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

/** A step of a sidecar's tick: the tables and the effects so far. */
typealias SidecarStep = Step<SidecarTables, SidecarEffect>

/**
 * All state of a sidecar, as one immutable value.
 *
 * @property links open connections of entries
 * @property queue waiting runs in order of arrival; a requeued run is at the head
 * @property runningCount number of runs in progress at the upstream
 * @property fairQueue state of fair queueing among the accounts
 * @property fencingToken token that commands to the engine carry; null until the key-value service has issued one
 * @property isUpstreamReachable whether the upstream answered the last probe and no connection has failed since
 * @property isProbing whether a probe of the upstream is in progress
 * @property lastSentDigest the digest last sent to the entries; null before the first and after a new link opened
 * @property stoppingSince when the drain began; null before a stop request
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
    /** Whether a stop was requested. */
    val isStopping: Boolean get() = stoppingSince != null

    /** Whether a run on [adapter] can start: the adapter is resident, or null for a plain service. */
    fun isServable(adapter: AdapterRef?): Boolean =
        adapter == null || adapters[adapter]?.state == AdapterState.RESIDENT

    /** The tables with [change] applied to the row of [adapter]; unchanged if there is no such row. */
    fun updateAdapter(adapter: AdapterRef?, change: (AdapterRow) -> AdapterRow): SidecarTables {
        val row = adapters[adapter] ?: return this
        return if (adapter == null) this else copy(adapters = adapters.put(adapter, change(row)))
    }
}
