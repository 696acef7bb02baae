package org.ragwortbank.core.selection

import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration

/** What became of an attempt at an upstream. */
sealed interface AttemptOutcome {
    /** No byte of it left this process. */
    data object NotSent : AttemptOutcome

    /** Its connection broke, or the answer on it was invalid. */
    data object Lost : AttemptOutcome

    /** The upstream stated that it has not run it, with [status]. */
    data class Rejected(val status: Int) : AttemptOutcome {
        /** Whether it lacks what the request needs or is another upstream, so that this says nothing of its load. */
        val isMisdirected: Boolean get() = status == MISDIRECTED

        private companion object {
            const val MISDIRECTED = 421
        }
    }

    /** The upstream answered with the failure [status] after [delay]. */
    data class Failed(val status: Int, val delay: Duration) : AttemptOutcome

    /** A success began [delay] after the request was sent. */
    data class Began(val delay: Duration) : AttemptOutcome

    /** The answer arrived completely, [duration] after its beginning. */
    data class Completed(val duration: Duration) : AttemptOutcome

    /** The deadline passed before a complete answer. */
    data object Expired : AttemptOutcome

    /** The caller left. */
    data object Abandoned : AttemptOutcome
}

/** Learns from the requests that a gateway sends to an upstream; returns the upstream's row as changed by it. */
interface UpstreamObserver {
    /** [request] is sent to [upstream] at [now]. */
    fun onSent(upstream: UpstreamRow, request: RequestRow, now: Timestamp): UpstreamRow = upstream

    /** The attempt of [request] at [upstream] came to [outcome] at [now]. */
    fun onOutcome(
        upstream: UpstreamRow,
        request: RequestRow,
        outcome: AttemptOutcome,
        now: Timestamp,
    ): UpstreamRow = upstream
}
