package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.ServingConfig
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Step
import org.ragwortbank.core.tick.Timestamp

/** A gateway's step of a tick. */
typealias GatewayStep = Step<GatewayTables, GatewayEffect>

/** A call that came before the first configuration. */
data class DeferredCall(
    val number: RequestNumber,
    val call: ServingCall,
    val receivedAt: Timestamp,
)

/**
 * The newest version of an adapter, and when this entry heard of it.
 *
 * @property previous the version that was newest before, which alone may still be used for a while; 0 for any
 */
data class NewestVersion(
    val version: Long,
    val learnedAt: Timestamp,
    val previous: Long = 0,
)

/**
 * All that a gateway knows, as one immutable value.
 *
 * A gateway is an entry that sends requests to upstreams itself and leaves orders to the placers beside them.
 *
 * @property config newest configuration; null before the first
 * @property confirmedAt when the store was last asked something whose answer confirmed [config]
 * @property upstreamsByService upstreams of each service
 * @property deferredCalls calls that came before the first configuration or right after a pause of the process
 * @property catchUpUntil while nothing is sent, because the process stood still before
 * @property waiting requests that wait for an upstream, the oldest first
 * @property modelMissingSince since when no engine of a service has had the base model that requests name
 * @property sentDemand what each placer was told last
 * @property sentPeerTotals totals of use that the other entries were told last, and [peerDigestSentAt] when
 * @property peerDigestSendTimes when the newest digests to the other entries were sent, by their numbers
 */
data class GatewayTables(
    val identity: GatewayIdentity,
    val settings: GatewaySettings = GatewaySettings(),
    val startedAt: Timestamp,
    val config: ServingConfig? = null,
    val confirmedAt: Timestamp? = null,
    val upstreams: PersistentMap<UpstreamId, UpstreamRow> = persistentMapOf(),
    val upstreamsByService: PersistentMap<ServiceName, PersistentSet<UpstreamId>> = persistentMapOf(),
    val versions: PersistentMap<AdapterKey, NewestVersion> = persistentMapOf(),
    val requests: PersistentMap<RequestNumber, RequestRow> = persistentMapOf(),
    val deferredCalls: PersistentList<DeferredCall> = persistentListOf(),
    val waiting: PersistentSet<RequestNumber> = persistentSetOf(),
    val buckets: PersistentMap<AccountId, FleetBucket> = persistentMapOf(),
    val retries: PersistentMap<ServiceName, RetryBudget> = persistentMapOf(),
    val peers: PersistentMap<String, PeerRow> = persistentMapOf(),
    val modelMissingSince: PersistentMap<ServiceName, Timestamp> = persistentMapOf(),
    val sentDemand: PersistentMap<UpstreamId, SentDemand> = persistentMapOf(),
    val peerDigestSentAt: Timestamp? = null,
    val sentPeerTotals: PersistentMap<AccountId, Long> = persistentMapOf(),
    val peerDigestNumber: Long = 0,
    val peerDigestSendTimes: PersistentMap<Long, Timestamp> = persistentMapOf(),
    val demandDigestNumber: Long = 0,
    val lastSweepAt: Timestamp? = null,
    val lastTickAt: Timestamp? = null,
    val catchUpUntil: Timestamp? = null,
    val stoppingSince: Timestamp? = null,
    val stopped: Boolean = false,
) {
    /** The tables with [row] in place of its earlier version. */
    fun put(row: RequestRow): GatewayTables {
        val isWaiting = row.stage is RequestStage.Waiting
        return copy(
            requests = requests.put(row.number, row),
            waiting = if (isWaiting) waiting.add(row.number) else waiting.remove(row.number),
        )
    }

    /** The tables without the request [number]. */
    fun remove(number: RequestNumber): GatewayTables =
        copy(requests = requests.remove(number), waiting = waiting.remove(number))

    /** The tables with the row of [id] changed, if there is one. */
    fun updateUpstream(id: UpstreamId, change: (UpstreamRow) -> UpstreamRow): GatewayTables {
        val row = upstreams[id] ?: return this
        return copy(upstreams = upstreams.put(id, change(row)))
    }

    /** Entries of the fleet, this one included. */
    val gatewayCount: Int get() = peers.values.count { it.isListed } + 1
}

/** What a placer was told last. */
data class SentDemand(
    val loadRequests: PersistentSet<AdapterKey>,
    val sentAt: Timestamp,
)

internal fun GatewayStep.log(part: LogPart, message: String): GatewayStep =
    emit(GatewayEffect.Log(LogLine(part, message)))
