package org.ragwortbank.node.loop

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A monotonic clock that includes the time for which the host was suspended.
 *
 * The system's monotonic clock stops during a suspension, the time of day does not. If the time of day has advanced
 * further, the difference counts as a pause. Setting the time of day forward looks the same: leases and other values
 * with a maximum age then expire too early and are confirmed again. For use by one thread.
 */
class PauseAwareClock(
    private val monotonicClock: () -> Long = System::nanoTime,
    private val timeOfDayClock: () -> Long = System::currentTimeMillis,
) {
    private var lastMonotonicNanos = monotonicClock()
    private var lastTimeOfDayMillis = timeOfDayClock()
    private var totalPause = Duration.ZERO

    /** The current time, including all pauses so far. */
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
        /** Smaller differences are corrections of the time of day, not suspensions. */
        val MIN_PAUSE = 200.milliseconds
    }
}
