package org.ragwortbank.clients.limits

import org.ragwortbank.core.limits.LimitEpoch

/** Outcome of reading the limit epoch. */
sealed interface EpochRead {
    /** The stored epoch; null when none has been written yet. */
    data class Found(val epoch: LimitEpoch?, internal val revision: Long) : EpochRead

    /** The key-value service did not answer, or the stored epoch is malformed. */
    data class Unavailable(val cause: String) : EpochRead
}
