package org.ragwortbank.standins.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How the engine stand-in behaves.
 *
 * @property adapterSlots adapters that it holds at once
 * @property timePerToken time between two output tokens
 * @property maxOutputTokens length of an answer, unless the request allows fewer
 * @property checksFencingToken whether it refuses orders with an old fencing number
 */
data class EngineOptions(
    val adapterSlots: Int = 4,
    val timePerToken: Duration = 5.milliseconds,
    val maxOutputTokens: Int = 24,
    val checksFencingToken: Boolean = true,
)
