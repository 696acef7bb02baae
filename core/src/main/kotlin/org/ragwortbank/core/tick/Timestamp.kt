package org.ragwortbank.core.tick

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A reading of the monotonic clock of one process, in nanoseconds from an arbitrary origin.
 *
 * Timestamps of different processes have different origins and must not be compared.
 */
@JvmInline
value class Timestamp(val nanos: Long) : Comparable<Timestamp> {
    /** Returns the timestamp [duration] after this one. */
    operator fun plus(duration: Duration): Timestamp = Timestamp(nanos + duration.inWholeNanoseconds)

    /** Returns the timestamp [duration] before this one. */
    operator fun minus(duration: Duration): Timestamp = Timestamp(nanos - duration.inWholeNanoseconds)

    /** Returns the time from [other] to this timestamp; negative if [other] is later. */
    operator fun minus(other: Timestamp): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: Timestamp): Int = nanos.compareTo(other.nanos)
}
