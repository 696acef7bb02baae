package org.ragwortbank.standins.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Options of the engine stand-in.
 *
 * @property adapterSlots adapters that can be resident at the same time
 * @property timePerToken time to generate one output token
 * @property maxOutputTokens most tokens of a response, unless the request sets a lower limit
 * @property checksFencingToken whether it rejects commands with a stale fencing token
 */
data class EngineOptions(
    val adapterSlots: Int = 4,
    val timePerToken: Duration = 5.milliseconds,
    val maxOutputTokens: Int = 24,
    val checksFencingToken: Boolean = true,
)
