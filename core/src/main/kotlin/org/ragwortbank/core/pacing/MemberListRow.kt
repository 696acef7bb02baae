package org.ragwortbank.core.pacing

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.seconds

/**
 * How this gateway knows which others there are.
 *
 * @property since since when the store has been read without a long gap
 * @property readAt when it was read last
 */
data class MemberListRow(
    val since: Timestamp,
    val readAt: Timestamp,
) {
    /** This row after another read of the store at [now]. */
    fun afterRead(now: Timestamp): MemberListRow = if (isRecent(now)) copy(readAt = now) else MemberListRow(now, now)

    /** Whether the others are listed, and count on this gateway as it counts on them. */
    fun isReliable(now: Timestamp): Boolean = isRecent(now) && now - since >= SETTLING_TIME

    private fun isRecent(now: Timestamp): Boolean = now - readAt <= MAX_AGE

    private companion object {
        /** Gateways that started or came back with this one are listed by then. */
        val SETTLING_TIME = 3.seconds

        /** Shorter than the lease of a member lives after its last renewal. */
        val MAX_AGE = 3.seconds
    }
}
