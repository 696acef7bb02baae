package org.ragwortbank.experiments.limits

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.limits.TokenBucket
import org.ragwortbank.core.model.Account
import org.ragwortbank.experiments.fleet.FleetHistory
import org.ragwortbank.experiments.fleet.FleetRecord

/** Other ways of limiting, on the requests of the same run. */
object Baselines {
    /** Requests that one central bucket without failures refuses. */
    fun centralRefusals(history: FleetHistory): Int = refusals(history, buckets = 1) { 0 }

    /** Requests that are refused when each of [entries] entries has its fixed part of rate and burst. */
    fun staticRefusals(history: FleetHistory, entries: Int, pick: (Int) -> Int): Int = refusals(history, entries, pick)

    private fun refusals(history: FleetHistory, buckets: Int, pick: (Int) -> Int): Int {
        val account = history.of<FleetRecord.Agreed>().first().account
        val part = Account(account.id, account.rate / buckets, account.burst / buckets)
        val full = (0 until buckets).map { TokenBucket.of(part, part.burst, history.records.first().at) }
        val begin = Replay(full.toPersistentList(), 0)
        return history.of<FleetRecord.Offered>()
            .foldIndexed(begin) { index, replay, offer -> replay.offer(offer, pick(index)) }
            .refused
    }

    private data class Replay(val buckets: PersistentList<TokenBucket>, val refused: Int) {
        fun offer(offer: FleetRecord.Offered, at: Int): Replay {
            val filled = buckets[at].refill(offer.at)
            return when {
                filled.canTake(offer.tokens) -> copy(buckets = buckets.set(at, filled.take(offer.tokens)))
                else -> Replay(buckets.set(at, filled), refused + 1)
            }
        }
    }
}
