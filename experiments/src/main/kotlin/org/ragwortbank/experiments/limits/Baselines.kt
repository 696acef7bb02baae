package org.ragwortbank.experiments.limits

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.limits.TokenBucket
import org.ragwortbank.core.model.Account
import org.ragwortbank.experiments.fleet.FleetHistory
import org.ragwortbank.experiments.fleet.FleetRecord

/** Simpler limiters, applied to the requests of a run for comparison. */
object Baselines {
    /** Number of requests that one central bucket without failures refuses. */
    fun centralRefusals(history: FleetHistory): Int = refusals(history, bucketCount = 1) { 0 }

    /** Number of requests that are refused if each of [entryCount] entries has a fixed share of rate and burst. */
    fun staticRefusals(history: FleetHistory, entryCount: Int, entryOf: (Int) -> Int): Int =
        refusals(history, entryCount, entryOf)

    private fun refusals(history: FleetHistory, bucketCount: Int, bucketOf: (Int) -> Int): Int {
        val account = history.recordsOf<FleetRecord.Agreed>().first().account
        val accountShare = Account(account.id, account.rate / bucketCount, account.burst / bucketCount)
        val startedAt = history.records.first().at
        val fullBuckets = (0 until bucketCount).map { TokenBucket.of(accountShare, accountShare.burst, startedAt) }
        val initialReplay = Replay(fullBuckets.toPersistentList(), 0)
        return history.recordsOf<FleetRecord.Offered>()
            .foldIndexed(initialReplay) { index, replay, request -> replay.process(request, bucketOf(index)) }
            .refusedCount
    }

    private data class Replay(val buckets: PersistentList<TokenBucket>, val refusedCount: Int) {
        fun process(request: FleetRecord.Offered, bucketIndex: Int): Replay {
            val refilled = buckets[bucketIndex].refill(request.at)
            return when {
                refilled.canTake(request.tokens) ->
                    copy(buckets = buckets.set(bucketIndex, refilled.take(request.tokens)))
                else -> Replay(buckets.set(bucketIndex, refilled), refusedCount + 1)
            }
        }
    }
}
