package org.ragwortbank.core.entry

import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Timestamp

/** How far a request has come. */
sealed interface Stage {
    /** Waits for tokens of its account. */
    data object AwaitingCredit : Stage

    /** Waits for its idempotency key to be recorded. */
    data class AwaitingClaim(val since: Timestamp) : Stage

    /** May be dispatched. */
    data object Ready : Stage

    /** Was sent to the sidecar on [upstream] and may run there. */
    data class Dispatched(
        val upstream: InstanceName,
        val run: RunId,
        val dispatchedAt: Timestamp,
        val cancelled: Boolean = false,
    ) : Stage
}
