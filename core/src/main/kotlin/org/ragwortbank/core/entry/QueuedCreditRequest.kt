package org.ragwortbank.core.entry

import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Timestamp

/** A credit request that waits until this entry owns the bucket. */
data class QueuedCreditRequest(
    val from: InstanceName,
    val request: EntryMessage.CreditRequest,
    val receivedAt: Timestamp,
) {
    /** Whether the grant lifetime is over, so that the sender would only return the tokens. */
    fun isStale(tables: EntryTables, now: Timestamp): Boolean = now - receivedAt > tables.settings.grantLifetime
}
