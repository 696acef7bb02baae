package org.ragwortbank.core.limits

import org.ragwortbank.core.tick.Timestamp

/** Tokens that a bucket owner has granted to an entry, which may spend them until [expiresAt]. */
data class IssuedCredit(
    val tokens: Long,
    val expiresAt: Timestamp,
)
