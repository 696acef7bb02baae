package org.ragwortbank.core.locality

import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.tick.Timestamp

/**
 * A failure domain to whose upstreams nothing is sent.
 *
 * @property learnedAt when this gateway read it
 * @property isValueReadable whether the value that the operators wrote with it can be read; it isn't used
 * @property isApplied whether requests that waited for an upstream of the domain were moved
 */
data class EvacuationRow(
    val domain: FailureDomain,
    val learnedAt: Timestamp,
    val isValueReadable: Boolean,
    val isApplied: Boolean = false,
)
