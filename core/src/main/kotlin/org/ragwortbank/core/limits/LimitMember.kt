package org.ragwortbank.core.limits

import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.core.model.InstanceName

/** One entry process that may be the home of accounts. */
data class LimitMember(
    val name: InstanceName,
    val incarnation: Incarnation,
)
