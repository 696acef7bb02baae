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

/** The tables after the first send of [row], which earns its service a part of a retry. */
internal fun GatewayTables.addRetryCredit(row: RequestRow): GatewayTables {
    val maxLevel = settings.retrySlack * OWN_SHARE / gatewayCount
    val budget = retries[row.service] ?: RetryBudget(maxLevel)
    val credited = budget.afterFirstSend(settings.retryRatio * OWN_SHARE, maxLevel)
    return copy(retries = retries.put(row.service, credited))
}

/** Share of the fleet's retry budget that is split among the gateways; the rest covers late digests. */
private const val OWN_SHARE = 0.8
