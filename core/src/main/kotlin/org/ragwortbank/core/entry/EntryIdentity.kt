package org.ragwortbank.core.entry

import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.model.FailureDomain

/** Who an entry process is. */
data class EntryIdentity(
    val member: LimitMember,
    val failureDomain: FailureDomain,
)
