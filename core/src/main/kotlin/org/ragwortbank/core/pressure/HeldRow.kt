package org.ragwortbank.core.pressure

import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.tick.Timestamp

/**
 * What the connection of a caller holds, as measured.
 *
 * @property bytes bytes of the answer that the caller hasn't taken
 * @property takenParts parts of the answer that it has taken so far
 * @property isUpstreamRead whether the upstream of the answer is being read, or needn't be any more
 * @property isComplete whether nothing more is to come for the caller
 */
data class HeldMeasure(
    val bytes: Long,
    val takenParts: Long,
    val isUpstreamRead: Boolean,
    val isComplete: Boolean = false,
)

/**
 * An answer of which a gateway holds a part that its caller hasn't taken.
 *
 * @property progressAt when the caller was last seen to have taken a part, or when it was first measured
 * @property unreadSince since when its upstream isn't read; null while it is
 * @property readLimitBytes up to how many bytes the upstream is read beyond the usual mark; 0 for that mark
 */
data class HeldRow(
    val number: RequestNumber,
    val measure: HeldMeasure,
    val progressAt: Timestamp,
    val unreadSince: Timestamp? = null,
    val readLimitBytes: Long = 0,
) {
    /** Bytes that it holds or has been allowed to hold. */
    val reservedBytes: Long get() = maxOf(measure.bytes, readLimitBytes)

    /** This row after [newest] was measured at [now]. */
    fun after(newest: HeldMeasure, now: Timestamp): HeldRow =
        copy(
            measure = newest,
            progressAt = if (newest.takenParts > measure.takenParts) now else progressAt,
            unreadSince = if (newest.isUpstreamRead) null else unreadSince ?: now,
            readLimitBytes = if (newest.bytes <= PressureLimits.LOW_WATER_BYTES) 0 else readLimitBytes,
        )

    companion object {
        /** The row of an answer that was first measured at [now]. */
        fun first(number: RequestNumber, measure: HeldMeasure, now: Timestamp): HeldRow =
            HeldRow(
                number = number,
                measure = measure,
                progressAt = now,
                unreadSince = if (measure.isUpstreamRead) null else now,
            )
    }
}
