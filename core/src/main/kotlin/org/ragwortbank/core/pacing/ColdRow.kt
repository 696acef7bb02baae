package org.ragwortbank.core.pacing

import org.ragwortbank.core.serving.ColdStart
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/**
 * What a gateway knows of an upstream that may be cold, and what it has sent there.
 *
 * @property remaining how long it stays cold from [learnedAt] on, as registered; null if it hasn't registered that
 * @property outageAt latest failure of an outage, from which it may come back cold
 * @property isCold whether it was cold when the store was read last
 * @property seat requests that this gateway may send in any second, by its member list; null while that isn't known
 * @property isOddLogged whether the log has an odd [remaining] of this incarnation
 * @property sentAt when the latest request was sent
 * @property sentBefore when the one before it was sent
 * @property sentCount requests sent since the upstream became cold
 */
data class ColdRow(
    val remaining: Duration?,
    val learnedAt: Timestamp,
    val outageAt: Timestamp? = null,
    val isCold: Boolean = false,
    val seat: Int? = null,
    val isOddLogged: Boolean = false,
    val sentAt: Timestamp? = null,
    val sentBefore: Timestamp? = null,
    val sentCount: Int = 0,
) {
    /** When it is no longer cold at the latest. */
    fun coldUntil(start: ColdStart): Timestamp {
        val reported = learnedAt + (remaining ?: start.duration).coerceAtMost(start.longestDuration)
        return outageAt?.let { maxOf(reported, it + start.duration) } ?: reported
    }

    /** Whether it may be cold at [now]. */
    fun mayBeCold(start: ColdStart, now: Timestamp): Boolean = now < coldUntil(start)

    /** This row with a request sent. */
    fun withRequestSent(now: Timestamp): ColdRow = copy(sentAt = now, sentBefore = sentAt, sentCount = sentCount + 1)

    /** This row without the request that was sent at [time] and doesn't count toward the bound. */
    fun withoutRequestSent(time: Timestamp): ColdRow =
        if (sentAt == time) copy(sentAt = sentBefore, sentBefore = null, sentCount = sentCount - 1) else this
}
