package org.ragwortbank.core.limits

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/**
 * How far a bucket has been from full.
 *
 * Tokens that come back may count only as far as the bucket would have had room for them all along: where it has been
 * full meanwhile, it has already refilled them.
 *
 * @property from since when the log knows
 * @property lows what was seen, without what a later and lower headroom outweighs; times and headrooms ascend
 */
data class HeadroomLog(
    private val from: Timestamp,
    private val lows: PersistentList<Seen> = persistentListOf(),
) {
    /** The log with [headroom] tokens seen at [now]; what is older than [memory] is forgotten. */
    fun see(now: Timestamp, headroom: Long, memory: Duration): HeadroomLog {
        val horizon = maxOf(from, now - memory)
        val kept = lows.dropLastWhile { it.headroom >= headroom }.dropWhile { it.at < horizon }
        return HeadroomLog(horizon, kept.toPersistentList().add(Seen(now, headroom)))
    }

    /** The least headroom in tokens after [since]; none where the log does not reach back so far. */
    fun leastAfter(since: Timestamp): Long =
        if (since < from) 0 else lows.firstOrNull { it.at > since }?.headroom ?: Long.MAX_VALUE

    /** A headroom seen at one time. */
    data class Seen(val at: Timestamp, val headroom: Long)
}
