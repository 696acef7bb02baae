package org.ragwortbank.core.entry

import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.model.FailureDomain

/** Identity and failure domain of an entry process. */
data class EntryIdentity(
    val member: LimitMember,
    val failureDomain: FailureDomain,
)
