package org.ragwortbank.core.limits

import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.core.tick.Timestamp

/**
 * Identifies which bucket owner issued a credit grant, and when.
 *
 * The receiving entry sends it back when it returns the tokens that it did not consume.
 *
 * @property owner incarnation of the bucket owner
 * @property grantedAt time of the grant by the owner's clock
 */
data class GrantOrigin(
    val owner: Incarnation,
    val grantedAt: Timestamp,
)
