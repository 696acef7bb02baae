package org.ragwortbank.core.limits

import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.core.tick.Timestamp

/** Which home granted tokens, and when by its own clock; it comes back with what was not used. */
data class GrantOrigin(
    val owner: Incarnation,
    val grantedAt: Timestamp,
)
