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
 * @property knownSince since when the log knows
 * @property minima what was seen, without what a later and lower headroom outweighs; times and headrooms ascend
 */
data class HeadroomHistory(
    private val knownSince: Timestamp,
    private val minima: PersistentList<Sample> = persistentListOf(),
) {
    /** The log with [headroom] tokens seen at [now]; what is older than [retention] is forgotten. */
    fun record(now: Timestamp, headroom: Long, retention: Duration): HeadroomHistory {
        val retainedSince = maxOf(knownSince, now - retention)
        val retained = minima.dropLastWhile { it.headroom >= headroom }.dropWhile { it.takenAt < retainedSince }
        return HeadroomHistory(retainedSince, retained.toPersistentList().add(Sample(now, headroom)))
    }

    /** The least headroom in tokens after [since]; none where the log does not reach back so far. */
    fun minimumAfter(since: Timestamp): Long =
        if (since < knownSince) 0 else minima.firstOrNull { it.takenAt > since }?.headroom ?: Long.MAX_VALUE

    /** A headroom seen at one time. */
    data class Sample(val takenAt: Timestamp, val headroom: Long)
}
