package org.ragwortbank.experiments.limits

import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.experiments.fleet.FleetHistory
import org.ragwortbank.experiments.fleet.FleetRecord

/**
 * What one run showed.
 *
 * @property lowestLevel lowest level of the checking bucket for what was admitted; below zero the bound was broken
 * @property refusedRate refusals because the bucket was empty
 * @property refusedHome refusals because the home was out of reach
 * @property central refusals of one central bucket without failures
 * @property static refusals of fixed equal parts
 */
data class LimitResult(
    val seed: Int,
    val offered: Int,
    val lowestLevel: Long,
    val refusedRate: Int,
    val refusedHome: Int,
    val central: Int,
    val static: Int,
) {
    /** Whether the bound was kept. */
    val held: Boolean get() = lowestLevel >= 0

    companion object {
        /** Reads the result of the run with [seed] from its [history]. */
        fun of(seed: Int, history: FleetHistory, entries: Int): LimitResult {
            val refusals = history.of<FleetRecord.Refused>().groupingBy { it.code }.eachCount()
            val other = refusals.filterKeys { it != ResultCode.RATE_EXCEEDED }.values.sum()
            return LimitResult(
                seed = seed,
                offered = history.of<FleetRecord.Offered>().size,
                lowestLevel = WindowChecker().lowestLevel(history, admitted(history)),
                refusedRate = refusals[ResultCode.RATE_EXCEEDED] ?: 0,
                refusedHome = other,
                central = Baselines.centralRefusals(history),
                static = Baselines.staticRefusals(history, entries) { it % entries },
            )
        }
    }
}
