package org.ragwortbank.standins.fleet

import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Waits for conditions in other processes. */
object Polling {
    private val limit = 20.seconds
    private const val POLL_MILLIS = 50L

    /** Tests [condition] until it holds, and tells whether it did in time. */
    fun until(condition: () -> Boolean): Boolean {
        val begin = TimeSource.Monotonic.markNow()
        while (begin.elapsedNow() < limit) {
            if (condition()) return true
            Thread.sleep(POLL_MILLIS)
        }
        return false
    }
}
