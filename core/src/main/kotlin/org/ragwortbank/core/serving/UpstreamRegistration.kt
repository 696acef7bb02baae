package org.ragwortbank.core.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.model.FailureDomain
import kotlin.time.Duration

/**
 * An upstream's own entry on the instance list.
 *
 * @property domain failure domain of its instance
 * @property slots number of requests that it serves at the same time
 * @property isAccepting whether it takes new requests
 * @property startedMillis start of this incarnation in Unix milliseconds; 0 when the entry doesn't say
 * @property residentModels base models that are loaded
 * @property resident versions of the adapters that are loaded
 * @property version version of its software; null when the entry doesn't say or it can't be read
 * @property coldRemaining how much longer it is cold, as it says; null when the entry doesn't say
 */
data class UpstreamRegistration(
    val id: UpstreamId,
    val service: ServiceName,
    val endpoint: Endpoint,
    val domain: FailureDomain,
    val slots: Int,
    val isAccepting: Boolean,
    val startedMillis: Long,
    val residentModels: PersistentSet<String>,
    val resident: PersistentMap<AdapterKey, Long>,
    val coldRemaining: Duration? = null,
    val version: SoftwareVersion? = null,
) {
    /** The start of the upstream that registered. */
    val incarnation: UpstreamIncarnation get() = UpstreamIncarnation(id, startedMillis)

    /** Hash of [id] for rendezvous hashing. */
    val nameHash: Long = RendezvousHash.hashOf(id.value)
}
