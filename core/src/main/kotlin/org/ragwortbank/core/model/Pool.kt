package org.ragwortbank.core.model

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** A row of the pools table: the upstreams that serve the routes of this pool. */
data class Pool(
    val name: PoolName,
    val kind: UpstreamKind = UpstreamKind.ENGINE,
    val upstreams: PersistentList<UpstreamPattern> = persistentListOf(),
) {
    /** Returns whether the upstream on [instance] belongs to this pool. */
    fun contains(instance: InstanceName): Boolean = upstreams.any { it.matches(instance) }
}
