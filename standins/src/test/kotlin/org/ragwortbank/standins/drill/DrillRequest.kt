package org.ragwortbank.standins.drill

import kotlin.time.Duration

/**
 * A request of a caller and its answer; times are since the start of the drill.
 *
 * @property machine index of the gateway's machine
 * @property incarnation number of the gateway process that the request was sent to
 * @property status status of the answer; null if there was none
 */
data class DrillRequest(
    val id: String,
    val machine: Int,
    val incarnation: Int,
    val prefix: String,
    val key: String,
    val sentAt: Duration,
    val endedAt: Duration,
    val status: Int?,
)
