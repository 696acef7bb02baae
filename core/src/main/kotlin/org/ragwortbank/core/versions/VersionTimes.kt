package org.ragwortbank.core.versions

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Times by which gateways agree on the versions of streams without a word between them. */
internal object VersionTimes {
    /** Age up to which a read of the store lets streams begin at admitted versions and be taken up without another. */
    val STREAM_LEASE = 3.seconds

    /** Difference between the clocks of two processes over a few seconds, and what a tick takes. */
    val MARGIN = 500.milliseconds

    /** Longest life of a stream with all its take-ups, and of its record. */
    val STREAM_LIFETIME = 2.minutes

    /** Age up to which a read of the store lets streams begin at the base version. */
    val BASE_LEASE = 60.seconds

    /** Time after the store was asked to keep a record within which its answer lets the stream be passed on. */
    val RECORD_LEASE = 3.seconds

    /** Time without a listed upstream of a version after which it is given up. */
    val UNLISTED_LIFETIME = 60.seconds

    /** After a version is no longer admitted, this passes before all records of its streams are in the store. */
    val SETTLE_TIME = STREAM_LEASE + RECORD_LEASE + MARGIN

    /** While the base version is admitted too, this passes before all its streams without records are over. */
    val BASE_LEAVE_TIME = BASE_LEASE + STREAM_LIFETIME

    /** Time after which a request whose version isn't decided is refused; callers leave after 2 s without an event. */
    val MAX_UNDECIDED = 1_200.milliseconds

    /** Time after a failed request within which an upstream may run again at another version than is listed. */
    val RESTART_DOUBT = 4.seconds

    /** After the store came back older, this passes before all streams are over whose record it may lack. */
    val DOUBT_TIME = BASE_LEASE + STREAM_LIFETIME
}
