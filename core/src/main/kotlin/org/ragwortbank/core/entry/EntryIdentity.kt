package org.ragwortbank.core.entry

import org.ragwortbank.core.limits.LimitMember
import org.ragwortbank.core.model.FailureDomain

/** Who an entry process is; [peerAddress] is `host:port` of its listener for other processes. */
data class EntryIdentity(
    val member: LimitMember,
    val failureDomain: FailureDomain,
    val peerAddress: String,
)
