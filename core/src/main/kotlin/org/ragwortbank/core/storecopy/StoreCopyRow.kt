package org.ragwortbank.core.storecopy

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.tick.Timestamp

/**
 * The older copy from which the platform's store came back, while those who write there complete it.
 *
 * @property readAt when it was first read
 * @property missingUpstreams upstreams that it lacked and that haven't registered again
 * @property missingPeers gateways that it lacked and that haven't joined again
 */
data class StoreCopyRow(
    val readAt: Timestamp,
    val missingUpstreams: PersistentSet<UpstreamId> = persistentSetOf(),
    val missingPeers: PersistentSet<String> = persistentSetOf(),
)
