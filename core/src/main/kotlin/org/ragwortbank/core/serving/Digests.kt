package org.ragwortbank.core.serving

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.crash.CrashReport
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.model.AccountId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A gateway's request to load an adapter.
 *
 * @property version version to load; null for the newest
 * @property requestCount requests that wait for it
 * @property waitingTime how long the first of them has waited
 * @property rank rank of the most urgent of them, where 0 is the most urgent; null when the gateway doesn't say
 */
data class LoadRequest(
    val adapter: AdapterKey,
    val version: Long?,
    val requestCount: Int = 1,
    val waitingTime: Duration = Duration.ZERO,
    val rank: Int? = null,
)

/**
 * A gateway's demand on the engine beside a placer. Each digest is complete, so a lost one is made up by the next.
 *
 * @property sender name of the gateway
 * @property incarnation incarnation of the sender
 * @property number rises with each digest of [sender]
 * @property upstream the engine, as the instance list names it
 * @property upstreamStartedMillis start of that engine in Unix milliseconds, as listed; 0 when it isn't known
 * @property digestInterval time after which [sender] wants the next digest of the engine while nothing changes
 * @property loadRequests adapters that requests are waiting for, longest wait first
 * @property inUse adapters with requests under way from this gateway, or sent since its last digest
 * @property engine capacity of the engine, as configured; null when an earlier digest has said it
 * @property isEvacuated whether the engine's failure domain is emptied, so that it gets no commands
 */
data class DemandDigest(
    val sender: String,
    val incarnation: Long,
    val number: Long,
    val upstream: UpstreamId,
    val upstreamStartedMillis: Long = 0,
    val digestInterval: Duration = DEFAULT_DIGEST_INTERVAL,
    val loadRequests: PersistentList<LoadRequest> = persistentListOf(),
    val inUse: PersistentSet<AdapterKey> = persistentSetOf(),
    val engine: EngineSpec? = null,
    val isEvacuated: Boolean = false,
) {
    /** Identifies this digest. */
    val stamp: DigestStamp get() = DigestStamp(incarnation, number)

    /** Whether the gateway uses the engine or waits for it at present. */
    val isActive: Boolean get() = loadRequests.isNotEmpty() || inUse.isNotEmpty()

    companion object {
        /** Interval of digests when a gateway doesn't name one. */
        val DEFAULT_DIGEST_INTERVAL = 400.milliseconds
    }
}

/**
 * The state of an engine, sent by its placer.
 *
 * @property incarnation incarnation of the placer
 * @property number rises with each digest of the placer
 * @property resident versions of the adapters that can be used
 * @property loading versions of the adapters being loaded
 * @property inUse adapters with requests under way, of all gateways
 * @property residentModels base models that are loaded
 * @property runningRequests requests that the engine is serving, of all gateways
 * @property queuedRequests requests waiting at the engine
 * @property usedTokens memory of running requests of all gateways, in tokens; null when the engine doesn't say
 * @property freeSlots slots that can take another adapter now, including those of unused adapters
 * @property requestedLoads adapters that requests of all gateways wait for and whose load has not begun
 * @property millisPerToken time for one token of a run in milliseconds, as learned; 0 when it isn't known
 */
data class EngineDigest(
    val upstream: UpstreamId,
    val incarnation: Long,
    val number: Long,
    val resident: PersistentMap<AdapterKey, Long> = persistentMapOf(),
    val loading: PersistentMap<AdapterKey, Long> = persistentMapOf(),
    val inUse: PersistentSet<AdapterKey> = persistentSetOf(),
    val residentModels: PersistentSet<String> = persistentSetOf(),
    val runningRequests: Int = 0,
    val queuedRequests: Int = 0,
    val usedTokens: Long? = null,
    val freeSlots: Int = 0,
    val requestedLoads: Int = 0,
    val millisPerToken: Double = 0.0,
) {
    /** Identifies this digest. */
    val stamp: DigestStamp get() = DigestStamp(incarnation, number)
}

/**
 * The state that a gateway sends to its peers.
 *
 * @property admittedTokens tokens admitted for each account since the start of this incarnation; an account that is
 *   missing has not changed in this and the [REPEATS] digests before it
 * @property configVersion newest configuration version that the sender has
 * @property confirmedMillisAgo time since the store last confirmed that version to the sender, in milliseconds
 * @property lastReceived newest digest that the sender has received from each peer that lacks a confirmation of its
 *   configuration, by the peer's name
 * @property crashes what the sender saw of the latest crashes of upstreams
 * @property clearedTraits traits that may have caused crashes and of which the sender has had requests answered, with
 *   the time since then
 * @property blocks traits whose requests are refused, found lately or not yet kept by the store
 */
data class PeerDigest(
    val sender: String,
    val incarnation: Long,
    val number: Long,
    val admittedTokens: PersistentMap<AccountId, Long> = persistentMapOf(),
    val configVersion: Long = 0,
    val confirmedMillisAgo: Long = 0,
    val lastReceived: PersistentMap<String, DigestStamp> = persistentMapOf(),
    val crashes: PersistentList<CrashReport> = persistentListOf(),
    val clearedTraits: PersistentMap<CrashTrait, Duration> = persistentMapOf(),
    val blocks: PersistentSet<CrashTrait> = persistentSetOf(),
) {
    /** Identifies this digest. */
    val stamp: DigestStamp get() = DigestStamp(incarnation, number)

    companion object {
        /** Number of digests that repeat an account's total after a change, because any of them may be lost. */
        const val REPEATS = 3
    }
}
