package org.ragwortbank.experiments.limits

import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.experiments.fleet.FleetHistory
import org.ragwortbank.experiments.fleet.FleetRecord

/**
 * The outcome of one run.
 *
 * @property lowestLevel lowest level of the reference bucket in tokens; a negative level breaks the bound
 * @property bucketEmptyRefusals refused requests with code RATE_EXCEEDED
 * @property otherRefusals refused requests with any other code, such as those whose bucket owner was unreachable
 * @property centralBucketRefusals requests that one central bucket without failures would refuse
 * @property staticShareRefusals requests that fixed equal shares of rate and burst per entry would refuse
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
    /** Whether no window admitted more than rate times length plus burst. */
    val isBoundKept: Boolean get() = lowestLevel >= 0

    companion object {
        /** The result of the run with [seed], computed from its [history]. */
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
