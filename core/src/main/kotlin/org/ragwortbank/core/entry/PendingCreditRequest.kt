package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentList
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.tick.Timestamp

/** A credit request that was sent to the bucket owner of an account and is not answered yet. */
data class PendingCreditRequest(
    val number: Long,
    val owner: InstanceName,
    val requests: PersistentList<RequestId>,
    val sentAt: Timestamp,
)
