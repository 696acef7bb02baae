package org.ragwortbank.core.gateway

/**
 * Budget of a gateway for retries of requests to one service.
 *
 * @property level retries allowed now
 */
data class RetryBudget(val level: Double) {
    /** The budget after the first send of a request, which adds [ratio] retries up to [maxLevel]. */
    fun afterFirstSend(ratio: Double, maxLevel: Double): RetryBudget =
        RetryBudget((level + ratio).coerceAtMost(maxLevel))

    /** The budget after a retry; null when it is used up. */
    fun spend(): RetryBudget? = if (level >= 1) RetryBudget(level - 1) else null
}
