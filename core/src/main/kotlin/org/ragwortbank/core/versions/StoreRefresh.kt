package org.ragwortbank.core.versions

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Reads of the store that were asked for outside the usual interval.
 *
 * @property askedAt when the latest one was asked for
 * @property unansweredSince when the first one was asked for since the latest answer; null if none is open
 */
data class StoreRefresh(
    val askedAt: Timestamp? = null,
    val unansweredSince: Timestamp? = null,
) {
    /** Whether another read may be asked for at [now] while one is open. */
    fun isRepeatDue(now: Timestamp): Boolean = askedAt?.let { now - it >= REPEAT_INTERVAL } ?: true

    /** Whether the store has left a read unanswered for [time]. */
    fun isUnansweredFor(time: Duration, now: Timestamp): Boolean =
        unansweredSince?.let { now - it > time } ?: false

    /** After a read was asked for at [now]. */
    fun asked(now: Timestamp): StoreRefresh = StoreRefresh(now, unansweredSince ?: now)

    /** After a read that was requested at [requestedAt] was answered. */
    fun answered(requestedAt: Timestamp): StoreRefresh =
        if (unansweredSince?.let { requestedAt >= it } == true) copy(unansweredSince = null) else this

    private companion object {
        val REPEAT_INTERVAL = 300.milliseconds
    }
}
