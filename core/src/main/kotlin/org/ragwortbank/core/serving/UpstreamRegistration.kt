package org.ragwortbank.core.serving

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.model.FailureDomain

/**
 * An upstream as it describes itself on the instance list.
 *
 * @property startedMillis start of this incarnation, Unix milliseconds; 0 when it doesn't say
 * @property isAccepting whether it takes new work
 * @property models base models that it holds
 * @property adapters versions of the adapters that it holds
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
) {
    /** For rendezvous hashing. */
    val hashSeed: Long = RendezvousHash.seed(id.value)
}
