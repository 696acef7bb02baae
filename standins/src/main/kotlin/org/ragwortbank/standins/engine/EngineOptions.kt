package org.ragwortbank.standins.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How the engine stand-in behaves.
 *
 * @property slots adapters that it holds at once
 * @property tokenTime time between two output tokens
 * @property answerTokens length of an answer, unless the request allows fewer
 * @property checksFencing whether it refuses orders with an old fencing number
 */
data class EngineOptions(
    val slots: Int = 4,
    val tokenTime: Duration = 5.milliseconds,
    val answerTokens: Int = 24,
    val checksFencing: Boolean = true,
)
