package org.ragwortbank.core.tick

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A point on the monotonic clock of one process, in nanoseconds from an arbitrary origin.
 *
 * Timestamps of different processes must not be compared.
 */
@JvmInline
value class Timestamp(val nanos: Long) : Comparable<Timestamp> {
    /** The timestamp that lies [duration] after this one. */
    operator fun plus(duration: Duration): Timestamp = Timestamp(nanos + duration.inWholeNanoseconds)

    /** The timestamp that lies [duration] before this one. */
    operator fun minus(duration: Duration): Timestamp = Timestamp(nanos - duration.inWholeNanoseconds)

    /** The time from [other] to this timestamp; negative when [other] is later. */
    operator fun minus(other: Timestamp): Duration = (nanos - other.nanos).nanoseconds

    override fun compareTo(other: Timestamp): Int = nanos.compareTo(other.nanos)
}
