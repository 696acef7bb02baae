package org.ragwortbank.core.serving

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.model.AccountId

/** An adapter and the version that is wanted; null for whichever is newest. */
data class LoadRequest(
    val adapter: AdapterKey,
    val version: Long?,
)

/**
 * What an entry wants of the engine beside a placer. A digest holds everything, so that a lost one does no harm.
 *
 * @property number rises with each digest of [sender]
 * @property incarnation of the sender
 * @property loadRequests adapters for which requests wait, the longest wait first
 * @property inUse adapters with requests under way from this entry, or sent since its last digest
 */
data class DemandDigest(
    val sender: String,
    val incarnation: Long,
    val number: Long,
    val upstream: UpstreamId,
    val loadRequests: PersistentList<LoadRequest> = persistentListOf(),
    val inUse: PersistentSet<AdapterKey> = persistentSetOf(),
    val engine: EngineSpec,
)

/**
 * What a placer knows of its engine.
 *
 * @property resident versions of the adapters that can be used
 * @property loading versions of the adapters whose load is under way
 * @property runningRequests requests under way at the engine, of all entries
 * @property queuedRequests requests that wait there
 * @property freeSlots places that can take another adapter now, those of unused adapters included
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
    val freeSlots: Int = 0,
)

/**
 * What an entry tells the others.
 *
 * @property admittedTokens tokens of each account admitted since the start of this incarnation
 * @property configVersion newest configuration that the sender holds
 * @property confirmedMillisAgo age of the sender's last confirmation of it by the store
 * @property lastReceived number of the newest digest that the sender has had from each other entry
 */
data class PeerDigest(
    val sender: String,
    val incarnation: Long,
    val number: Long,
    val admittedTokens: PersistentMap<AccountId, Long> = persistentMapOf(),
    val configVersion: Long = 0,
    val confirmedMillisAgo: Long = 0,
    val lastReceived: PersistentMap<String, DigestStamp> = persistentMapOf(),
)

/** Names one digest of a process. */
data class DigestStamp(
    val incarnation: Long,
    val number: Long,
)
