package org.ragwortbank.core.limits

import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.core.model.InstanceName

/**
 * One entry process that may be the home of accounts.
 *
 * @property address `host:port` at which it listens for other processes as long as it runs
 */
data class LimitMember(
    val name: InstanceName,
    val incarnation: Incarnation,
    val address: String,
)
