package org.ragwortbank.core.entry

import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Timestamp

/** Processing stage of a request. */
sealed interface Stage {
    /** Waiting for tokens of its account. */
    data object AwaitingCredit : Stage

    /** Waiting for its idempotency key to be recorded. */
    data class AwaitingClaim(val since: Timestamp) : Stage

    /** Ready to be dispatched. */
    data object Ready : Stage

    /** Dispatched to the sidecar on [upstream], where it may be running; [cancelled] after a cancel was sent. */
    data class Dispatched(
        val upstream: InstanceName,
        val run: RunId,
        val dispatchedAt: Timestamp,
        val cancelled: Boolean = false,
    ) : Stage
}
