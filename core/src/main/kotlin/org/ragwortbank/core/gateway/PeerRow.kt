package org.ragwortbank.core.gateway

import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.tick.Timestamp

/**
 * Another entry.
 *
 * @property endpoint where it takes digests
 * @property isListed whether the store lists it as a member
 * @property number of its newest digest, within [incarnation]
 * @property digestReceivedAt when that came; null when none did
 */
data class PeerRow(
    val name: String,
    val endpoint: Endpoint,
    val isListed: Boolean = true,
    val incarnation: Long = 0,
    val number: Long = 0,
    val digestReceivedAt: Timestamp? = null,
    val addedAt: Timestamp,
)
