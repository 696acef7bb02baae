package org.ragwortbank.core.entry

import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Timestamp

/** A question that arrived at [receivedAt] and waits until this entry owns the bucket. */
data class QueuedCreditRequest(
    val from: InstanceName,
    val request: EntryMessage.CreditAsk,
    val receivedAt: Timestamp,
) {
    /** Whether the asker has given up and would send the tokens back. */
    fun isStale(tables: EntryTables, now: Timestamp): Boolean = now - receivedAt > tables.settings.grantLifetime
}
