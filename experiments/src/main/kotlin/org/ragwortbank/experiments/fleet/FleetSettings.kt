package org.ragwortbank.experiments.fleet

import org.ragwortbank.core.entry.EntrySettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How the fake fleet behaves when nothing fails.
 *
 * @property latency time that a message between entries takes
 * @property storeLatency time that an answer of the platform takes
 * @property listInterval time between two reads of the instance list
 * @property storeInterval time between two reads of the limit epoch and the operators' tables
 * @property answerTime time from the dispatch of a request to the end of its answer
 * @property usedShare share of its reservation that a request uses
 */
data class FleetSettings(
    val entry: EntrySettings = EntrySettings(drainGrace = 1.seconds),
    val latency: Duration = 1.milliseconds,
    val storeLatency: Duration = 3.milliseconds,
    val listInterval: Duration = 500.milliseconds,
    val storeInterval: Duration = 1.seconds,
    val answerTime: Duration = 400.milliseconds,
    val usedShare: Double = 1.0,
)
