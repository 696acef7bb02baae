package org.ragwortbank.node.loop

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A clock that never goes back and counts the time for which the host was suspended.
 *
 * The monotonic clock stands still during a suspension and the time of day does not. Where the time of day has gone
 * further, the difference counts as a pause. A time of day that is set forward looks the same: what depends on age is
 * then given up too early and confirmed again. Used by one thread.
 */
class PauseAwareClock(
    private val monotonicClock: () -> Long = System::nanoTime,
    private val timeOfDayClock: () -> Long = System::currentTimeMillis,
) {
    private var lastMonotonicNanos = monotonicClock()
    private var lastTimeOfDayMillis = timeOfDayClock()
    private var totalPause = Duration.ZERO

    /** The present time. */
    fun now(): Timestamp {
        val monotonicNanos = monotonicClock()
        val timeOfDayMillis = timeOfDayClock()
        val pause =
            (timeOfDayMillis - lastTimeOfDayMillis).milliseconds - (monotonicNanos - lastMonotonicNanos).nanoseconds
        if (pause > MIN_PAUSE) totalPause += pause
        lastMonotonicNanos = monotonicNanos
        lastTimeOfDayMillis = timeOfDayMillis
        return Timestamp(monotonicNanos) + totalPause
    }

    private companion object {
        /** Smaller differences are corrections of the time of day. */
        val MIN_PAUSE = 200.milliseconds
    }
}
