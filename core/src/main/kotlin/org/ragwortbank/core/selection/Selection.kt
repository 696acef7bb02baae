package org.ragwortbank.core.selection

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import org.ragwortbank.core.eligibility.ExclusionReason
import org.ragwortbank.core.gateway.UpstreamRow

/**
 * An upstream of a request's service that may serve the request now or after a wait.
 *
 * @property reasons why it can't serve it now; empty if it can
 */
data class Member(
    val row: UpstreamRow,
    val reasons: PersistentSet<ExclusionReason>,
)

/**
 * The upstreams of one service as they are for one request.
 *
 * @property members those that may serve it now or later
 * @property candidates those that may serve it now
 * @property best the candidate to use; null if there is none
 */
data class Selection(
    val members: PersistentList<Member>,
    val candidates: PersistentList<Candidate>,
    val best: Candidate?,
)
