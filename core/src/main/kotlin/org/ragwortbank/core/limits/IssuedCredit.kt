package org.ragwortbank.core.limits

import org.ragwortbank.core.tick.Timestamp

/** Tokens that a home has handed to an entry, which may still be spent until [expiresAt]. */
data class IssuedCredit(
    val tokens: Long,
    val expiresAt: Timestamp,
)
