package org.ragwortbank.core.pacing

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/** What one attempt showed of an upstream's pace. */
sealed interface PaceSample {
    /** When the request was sent; null if that is no longer known. */
    val sentAt: Timestamp?

    /** An answer began [delay] after the request was sent, with [promptTokens] to read before it. */
    data class Began(
        override val sentAt: Timestamp?,
        val delay: Duration,
        val promptTokens: Long,
    ) : PaceSample

    /** The upstream rejected the request, or did not answer it before its deadline. */
    data class Overloaded(override val sentAt: Timestamp?) : PaceSample

    /** The request could not be sent, or its connection broke. */
    data class Failed(override val sentAt: Timestamp?) : PaceSample
}
