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
    private val steadyNanos: () -> Long = System::nanoTime,
    private val wallMillis: () -> Long = System::currentTimeMillis,
) {
    private var lastSteady = steadyNanos()
    private var lastWall = wallMillis()
    private var paused = Duration.ZERO

    /** The present time. */
    fun now(): Timestamp {
        val steady = steadyNanos()
        val wall = wallMillis()
        val gap = (wall - lastWall).milliseconds - (steady - lastSteady).nanoseconds
        if (gap > LEAST_PAUSE) paused += gap
        lastSteady = steady
        lastWall = wall
        return Timestamp(steady) + paused
    }

    private companion object {
        /** Smaller differences are corrections of the time of day. */
        val LEAST_PAUSE = 200.milliseconds
    }
}
