package org.ragwortbank.standins.fleet

import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Polls for conditions that other processes bring about. */
object Polling {
    private val timeout = 20.seconds
    private const val POLL_MILLIS = 50L

    /** Polls every [pollMillis] until [condition] holds, and returns whether it did before the timeout. */
    fun until(pollMillis: Long = POLL_MILLIS, condition: () -> Boolean): Boolean {
        val start = TimeSource.Monotonic.markNow()
        while (start.elapsedNow() < timeout) {
            if (condition()) return true
            Thread.sleep(pollMillis)
        }
        return false
    }
}
