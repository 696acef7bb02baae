package org.ragwortbank.core.gateway

import org.ragwortbank.core.serving.DigestStamp
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/**
 * Another gateway of the fleet.
 *
 * @property endpoint address at which it receives digests
 * @property isListed whether the store lists it as a member
 * @property number number of its latest digest, within [incarnation]
 * @property digestReceivedAt when that digest was received; null if none was
 * @property confirmedAgo age of its confirmation by the store, as its latest digest says
 * @property addedAt when this gateway added it to its tables
 */
data class PeerRow(
    val name: String,
    val endpoint: Endpoint,
    val isListed: Boolean = true,
    val incarnation: Long = 0,
    val number: Long = 0,
    val digestReceivedAt: Timestamp? = null,
    val confirmedAgo: Duration = Duration.ZERO,
    val addedAt: Timestamp,
) {
    /** Identifies its latest digest. */
    val stamp: DigestStamp get() = DigestStamp(incarnation, number)
}
