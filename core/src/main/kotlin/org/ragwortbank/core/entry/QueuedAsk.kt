package org.ragwortbank.core.entry

import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.tick.Timestamp

/** A question that arrived at [at] and waits until this entry owns the bucket. */
data class QueuedAsk(
    val from: InstanceName,
    val ask: EntryMessage.CreditRequest,
    val at: Timestamp,
) {
    /** Whether the asker has given up and would send the tokens back. */
    fun isStale(tables: EntryTables, now: Timestamp): Boolean = now - at > tables.settings.grantLifetime
}
