package org.ragwortbank.clients.limits

import org.ragwortbank.core.limits.LimitEpoch

/** Outcome of reading the limit epoch. */
sealed interface EpochRead {
    /** The epoch as stored; null when there is none yet. */
    data class Found(val epoch: LimitEpoch?, internal val revision: Long) : EpochRead

    /** The key-value service did not answer. */
    data class Unavailable(val cause: String) : EpochRead
}
