package org.ragwortbank.core.serving

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Identifies one digest of a process.
 *
 * @property incarnation start of the process in Unix milliseconds by its own clock
 * @property number rises with each digest of the process
 */
data class DigestStamp(
    val incarnation: Long,
    val number: Long,
) {
    /**
     * Whether this digest is newer than [latest], the newest one so far of the same sender, which came [silence] ago.
     *
     * A later process may have an earlier start, because its clock was set back. So a lower incarnation counts as a
     * later one once the known process has been silent for longer than its datagrams are on their way.
     */
    fun isNewerThan(latest: DigestStamp, silence: Duration): Boolean =
        when {
            incarnation == latest.incarnation -> number > latest.number
            incarnation > latest.incarnation -> true
            else -> silence >= MAX_DATAGRAM_DELAY
        }

    private companion object {
        val MAX_DATAGRAM_DELAY = 1.seconds
    }
}
