package org.ragwortbank.core.limits

import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.core.model.InstanceName

/**
 * An entry process that may own buckets.
 *
 * @property address `host:port` at which it accepts connections of other processes while it runs
 */
data class LimitMember(
    val name: InstanceName,
    val incarnation: Incarnation,
    val address: String,
)
