package org.ragwortbank.core.entry

import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.InstanceName

/** A question that waits until this entry owns the bucket. */
data class QueuedAsk(
    val from: InstanceName,
    val ask: EntryMessage.CreditAsk,
)
