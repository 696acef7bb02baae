package org.ragwortbank.core.crash

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.serving.UpstreamId

/**
 * A [trait] that [upstreams] had in common when they crashed, in [requestCount] different requests.
 *
 * @property breadth the smaller, the fewer requests have traits of this kind
 * @property replaced narrower traits that were taken for causes before, and whose crashes this one explains as well
 */
data class Cause(
    val trait: CrashTrait,
    val upstreams: PersistentList<UpstreamId>,
    val breadth: Int,
    val requestCount: Int,
    val replaced: Set<CrashTrait> = emptySet(),
)
