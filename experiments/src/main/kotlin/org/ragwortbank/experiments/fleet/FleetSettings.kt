package org.ragwortbank.experiments.fleet

import org.ragwortbank.core.entry.EntrySettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Timing of the simulated fleet while nothing fails.
 *
 * @property messageLatency time that a message between processes takes
 * @property platformLatency time until a response of the platform arrives
 * @property listReadInterval time between two reads of the instance list
 * @property storeReadInterval time between two reads of the limit epoch and the operators' tables
 * @property responseTime time from the dispatch of a request to the end of its response
 * @property consumedShare share of its reserved tokens that a request consumes
 */
data class FleetSettings(
    val entrySettings: EntrySettings = EntrySettings(drainGrace = 1.seconds),
    val messageLatency: Duration = 1.milliseconds,
    val platformLatency: Duration = 3.milliseconds,
    val listReadInterval: Duration = 500.milliseconds,
    val storeReadInterval: Duration = 1.seconds,
    val responseTime: Duration = 400.milliseconds,
    val consumedShare: Double = 1.0,
)
