package org.ragwortbank.core.storecopy

import org.ragwortbank.core.tick.Timestamp

/**
 * An incarnation of an upstream that was removed from the instance list at [removedAt].
 *
 * @property wasLeaving whether it was about to stop by then, so that it can't come back
 */
data class GoneUpstream(
    val removedAt: Timestamp,
    val wasLeaving: Boolean,
)
