package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.crash.BlockRow
import org.ragwortbank.core.crash.CrashTable
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.locality.EvacuationRow
import org.ragwortbank.core.locality.LostDomainRow
import org.ragwortbank.core.log.LogLine
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.pacing.DelayNorm
import org.ragwortbank.core.pacing.MemberListRow
import org.ragwortbank.core.pressure.HeldRow
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.ServingConfig
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamIncarnation
import org.ragwortbank.core.speed.ServiceSpeed
import org.ragwortbank.core.storecopy.GoneUpstream
import org.ragwortbank.core.storecopy.NamedConfig
import org.ragwortbank.core.storecopy.StoreCopyRow
import org.ragwortbank.core.tick.Step
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.core.versions.StreamVersions
import kotlin.time.Duration

/** The tables of a gateway within a tick, with the effects so far. */
typealias GatewayStep = Step<GatewayTables, GatewayEffect>

/** A call that waits for the first configuration, or for the end of the catch-up time after a suspension. */
data class DeferredCall(
    val number: RequestNumber,
    val call: ServingCall,
    val receivedAt: Timestamp,
)

/**
 * The newest version of an adapter, and when this gateway learned of it.
 *
 * @property previous version that was newest before; it and later ones stay usable for a while; 0 for any
 */
data class NewestVersion(
    val version: Long,
    val learnedAt: Timestamp,
    val previous: Long = 0,
)

/**
 * The state of a gateway, as one immutable value.
 *
 * A gateway sends requests to upstreams itself and leaves commands to the engines to the placers beside them.
 *
 * @property config newest configuration; null before the first
 * @property confirmedAt when the latest request to the store was made whose reply confirmed [config]
 * @property isConfigNewest whether the store's configuration is [config], as far as it has been read
 * @property namedConfig newest configuration of any other gateway; null before the first digest
 * @property isConfigOutdated whether another gateway has a later configuration than [config], which the store lacks
 * @property storePosition how far the store has been read
 * @property storeCopy older copy from which the store came back; null once that is complete
 * @property goneUpstreams incarnations of upstreams that were lately removed from the instance list
 * @property upstreamsByService upstreams of each service
 * @property leavingUpstreams upstreams that have said in an answer that they leave, and when they did
 * @property deferredCalls calls that arrived before the first configuration or right after a suspension of the process
 * @property catchUpUntil until when nothing is sent, because the process was suspended before
 * @property waiting requests that wait for an upstream, the oldest first
 * @property modelMissingSince since when no engine of a service has had the requested base model resident
 * @property sentDemand latest load requests sent to each placer
 * @property demandSweptAt when the digests to all placers were last checked for being due
 * @property retriedAt when the requests that wait for a load were last compared with all upstreams
 * @property sentPeerTotals totals of admitted tokens at the latest digests to the other gateways, the newest first,
 *   which was sent at [peerDigestSentAt]
 * @property needsFullPeerDigest whether the next of those digests must name all accounts, for a gateway that knows none
 * @property crashes latest crashes of upstreams, and which requests may have caused them
 * @property causeDueAt when the cause of the latest crashes is searched for next; null while there is nothing new
 * @property crashesSweptAt when the answers under way were last checked for clearing traits of suspicion
 * @property clearedTraits traits that answers here have cleared, with the time up to which they have
 * @property traitsClearedAt when a trait was last added to these
 * @property blocks traits whose requests are refused
 * @property replacedBlocks traits whose requests were refused before a broader trait took their place, and when it did
 * @property liftedBlocks blocks that the store no longer had, and when that was learned
 * @property memberList how this gateway knows of the others; null where no service has a bound on cold upstreams
 * @property evacuations failure domains to whose upstreams nothing is sent
 * @property lostDomains failure domains that are likely lost, so that others are preferred for a while
 * @property lossSweptAt when failed upstreams were last compared by their domains
 * @property delayNorms usual time to the first event of the answers of each paced service
 * @property pacedAt when the pace of upstreams was reviewed last
 * @property held answers of which callers haven't taken a part, by the latest measurement
 * @property speeds speed of the services whose upstreams are uneven, as summed up at [speedsSummedAt]
 * @property streamVersions software versions at which resumable streams began or may begin
 * @property peerDigestSendTimes when the latest digests to the other gateways were sent, by their numbers
 */
data class GatewayTables(
    val identity: GatewayIdentity,
    val settings: GatewaySettings = GatewaySettings(),
    val startedAt: Timestamp,
    val config: ServingConfig? = null,
    val confirmedAt: Timestamp? = null,
    val isConfigNewest: Boolean = false,
    val namedConfig: NamedConfig? = null,
    val isConfigOutdated: Boolean = false,
    val storePosition: StorePosition = StorePosition.NONE,
    val storeCopy: StoreCopyRow? = null,
    val goneUpstreams: PersistentMap<UpstreamIncarnation, GoneUpstream> = persistentMapOf(),
    val upstreams: PersistentMap<UpstreamId, UpstreamRow> = persistentMapOf(),
    val upstreamsByService: PersistentMap<ServiceName, PersistentSet<UpstreamId>> = persistentMapOf(),
    val versions: PersistentMap<AdapterKey, NewestVersion> = persistentMapOf(),
    val requests: PersistentMap<RequestNumber, RequestRow> = persistentMapOf(),
    val leavingUpstreams: PersistentMap<UpstreamIncarnation, Timestamp> = persistentMapOf(),
    val deferredCalls: PersistentList<DeferredCall> = persistentListOf(),
    val waiting: PersistentSet<RequestNumber> = persistentSetOf(),
    val buckets: PersistentMap<AccountId, FleetBucket> = persistentMapOf(),
    val retries: PersistentMap<ServiceName, RetryBudget> = persistentMapOf(),
    val peers: PersistentMap<String, PeerRow> = persistentMapOf(),
    val modelMissingSince: PersistentMap<ServiceName, Timestamp> = persistentMapOf(),
    val sentDemand: PersistentMap<UpstreamId, SentDemand> = persistentMapOf(),
    val demandSweptAt: Timestamp? = null,
    val retriedAt: Timestamp? = null,
    val peerDigestSentAt: Timestamp? = null,
    val sentPeerTotals: PersistentList<PersistentMap<AccountId, Long>> = persistentListOf(),
    val needsFullPeerDigest: Boolean = true,
    val crashes: CrashTable = CrashTable(),
    val causeDueAt: Timestamp? = null,
    val crashesSweptAt: Timestamp? = null,
    val clearedTraits: PersistentMap<CrashTrait, Timestamp> = persistentMapOf(),
    val traitsClearedAt: Timestamp? = null,
    val blocks: PersistentMap<CrashTrait, BlockRow> = persistentMapOf(),
    val replacedBlocks: PersistentMap<CrashTrait, Timestamp> = persistentMapOf(),
    val liftedBlocks: PersistentMap<CrashTrait, Timestamp> = persistentMapOf(),
    val evacuations: PersistentMap<FailureDomain, EvacuationRow> = persistentMapOf(),
    val lostDomains: PersistentMap<FailureDomain, LostDomainRow> = persistentMapOf(),
    val lossSweptAt: Timestamp? = null,
    val held: PersistentMap<RequestNumber, HeldRow> = persistentMapOf(),
    val peerDigestNumber: Long = 0,
    val peerDigestSendTimes: PersistentMap<Long, Timestamp> = persistentMapOf(),
    val demandDigestNumber: Long = 0,
    val memberList: MemberListRow? = null,
    val delayNorms: PersistentMap<ServiceName, DelayNorm> = persistentMapOf(),
    val pacedAt: Timestamp? = null,
    val lastSweepAt: Timestamp? = null,
    val lastTickAt: Timestamp? = null,
    val catchUpUntil: Timestamp? = null,
    val stoppingSince: Timestamp? = null,
    val isStopped: Boolean = false,
    val speeds: PersistentMap<ServiceName, ServiceSpeed> = persistentMapOf(),
    val speedsSummedAt: Timestamp? = null,
    val streamVersions: StreamVersions = StreamVersions(),
) {
    /** The tables with [row] added or replaced. */
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

    /** The tables with [change] applied to the row of [id], if there is one. */
    fun updateUpstream(id: UpstreamId, change: (UpstreamRow) -> UpstreamRow): GatewayTables {
        val row = upstreams[id] ?: return this
        return copy(upstreams = upstreams.put(id, change(row)))
    }

    /** Listed gateways of the fleet, including this one. */
    val gatewayCount: Int get() = peers.values.count { it.isListed } + 1

    /** Age above which a placer's digest is ignored; several digests of an engine that isn't in use fit in. */
    val engineDigestLifetime: Duration
        get() = maxOf(
            settings.engineDigestLifetime,
            DigestPacing.idleEngineInterval(settings.engineDigestInterval, upstreams.size) * MAX_MISSED_DIGESTS,
        )

    private companion object {
        const val MAX_MISSED_DIGESTS = 3
    }
}

/**
 * What was last sent to a placer, at [sentAt].
 *
 * @property isActive whether this gateway used the engine or waited for it then
 */
data class SentDemand(
    val loadRequests: PersistentSet<AdapterKey>,
    val isActive: Boolean,
    val sentAt: Timestamp,
)

internal fun GatewayStep.log(part: LogPart, message: String): GatewayStep =
    emit(GatewayEffect.Log(LogLine(part, message)))
