package org.ragwortbank.core.entry

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.model.RequestId

/** The requests of one account that wait for tokens at this entry, and its pending credit request. */
data class CreditRow(
    val waiting: PersistentList<RequestId> = persistentListOf(),
    val pending: PendingCreditRequest? = null,
) {
    /** Whether nothing waits and no credit request is pending, so that the row can be removed. */
    val isIdle: Boolean get() = waiting.isEmpty() && pending == null
}
