package org.ragwortbank.core.gateway

/**
 * How many sends beyond the first of each request an entry may make to a service.
 *
 * @property level sends that may be made now
 */
data class RetryBudget(val level: Double) {
    /** The budget after the first send of a request, at [ratio] extra sends per request and at most [maxLevel]. */
    fun afterFirstSend(ratio: Double, maxLevel: Double): RetryBudget =
        RetryBudget((level + ratio).coerceAtMost(maxLevel))

    /** The budget after an extra send; null when there is none left. */
    fun spend(): RetryBudget? = if (level >= 1) RetryBudget(level - 1) else null
}
