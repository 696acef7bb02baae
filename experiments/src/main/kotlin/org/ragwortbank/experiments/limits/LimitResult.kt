package org.ragwortbank.experiments.limits

import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.experiments.fleet.FleetHistory
import org.ragwortbank.experiments.fleet.FleetRecord

/**
 * What one run showed.
 *
 * @property lowestLevel lowest level of the checking bucket for what was admitted; below zero the bound was broken
 * @property bucketEmptyRefusals refusals because the bucket was empty
 * @property otherRefusals refusals because the home was out of reach
 * @property centralBucketRefusals refusals of one central bucket without failures
 * @property staticShareRefusals refusals of fixed equal parts
 */
data class LimitResult(
    val seed: Int,
    val offeredRequests: Int,
    val lowestLevel: Long,
    val bucketEmptyRefusals: Int,
    val otherRefusals: Int,
    val centralBucketRefusals: Int,
    val staticShareRefusals: Int,
) {
    /** Whether the bound was kept. */
    val isBoundKept: Boolean get() = lowestLevel >= 0

    companion object {
        /** Reads the result of the run with [seed] from its [history]. */
        fun of(seed: Int, history: FleetHistory, entryCount: Int): LimitResult {
            val refusalCounts = history.recordsOf<FleetRecord.Refused>().groupingBy { it.code }.eachCount()
            val otherRefusals = refusalCounts.filterKeys { it != ResultCode.RATE_EXCEEDED }.values.sum()
            return LimitResult(
                seed = seed,
                offeredRequests = history.recordsOf<FleetRecord.Offered>().size,
                lowestLevel = RateBoundChecker().lowestLevel(history, consumedTokens(history)),
                bucketEmptyRefusals = refusalCounts[ResultCode.RATE_EXCEEDED] ?: 0,
                otherRefusals = otherRefusals,
                centralBucketRefusals = Baselines.centralRefusals(history),
                staticShareRefusals = Baselines.staticRefusals(history, entryCount) { it % entryCount },
            )
        }
    }
}
