package org.ragwortbank.core.limits

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/**
 * Recent headroom of a bucket: the tokens that it could still take up before it was full.
 *
 * Returned tokens are credited only up to the lowest headroom since their grant expired. If the bucket was full in the
 * meantime, refilling has already replaced them.
 *
 * @property knownSince start of the period that the history covers
 * @property minima samples in ascending order of time and of headroom; a sample with a later one at or below its
 * headroom is left out
 */
data class HeadroomHistory(
    private val knownSince: Timestamp,
    private val minima: PersistentList<Sample> = persistentListOf(),
) {
    /** The history with a sample of [headroom] tokens at [now], without samples older than [retention]. */
    fun record(now: Timestamp, headroom: Long, retention: Duration): HeadroomHistory {
        val retainedSince = maxOf(knownSince, now - retention)
        val retained = minima.dropLastWhile { it.headroom >= headroom }.dropWhile { it.takenAt < retainedSince }
        return HeadroomHistory(retainedSince, retained.toPersistentList().add(Sample(now, headroom)))
    }

    /** The lowest headroom in tokens after [since]; 0 if the history does not reach back that far. */
    fun minimumAfter(since: Timestamp): Long =
        if (since < knownSince) 0 else minima.firstOrNull { it.takenAt > since }?.headroom ?: Long.MAX_VALUE

    /** The headroom in tokens at one time. */
    data class Sample(val takenAt: Timestamp, val headroom: Long)
}
