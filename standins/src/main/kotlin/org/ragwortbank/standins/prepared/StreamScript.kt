package org.ragwortbank.standins.prepared

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How a worker streams to requests that name no model.
 *
 * @property version version of its software, which marks each event
 * @property eventCount number of events in a whole stream
 * @property interval time between two events
 * @property breakAfter number of events after which it breaks a new stream off; null to go on to the end
 */
data class StreamScript(
    val version: String,
    val eventCount: Int = 40,
    val interval: Duration = 40.milliseconds,
    val breakAfter: Int? = null,
) {
    /** The event [number], which counts from 1. */
    fun event(number: Int): String = "id: $number\ndata: $version piece\n\n"
}
