package org.ragwortbank.core.locality

import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.AttemptOutcome
import org.ragwortbank.core.selection.UpstreamObserver
import org.ragwortbank.core.tick.Timestamp

/** Notes when requests were last sent to an upstream, and when one last failed there without an answer. */
class DomainLossObserver : UpstreamObserver {
    override fun onSent(upstream: UpstreamRow, request: RequestRow, now: Timestamp): UpstreamRow =
        upstream.copy(sentAt = now)

    override fun onOutcome(
        upstream: UpstreamRow,
        request: RequestRow,
        outcome: AttemptOutcome,
        now: Timestamp,
    ): UpstreamRow =
        when (outcome) {
            AttemptOutcome.NotSent, AttemptOutcome.Lost -> upstream.copy(failedAt = now)
            is AttemptOutcome.Rejected,
            is AttemptOutcome.Failed,
            is AttemptOutcome.Began,
            is AttemptOutcome.Completed,
            AttemptOutcome.Expired,
            AttemptOutcome.Abandoned,
            -> upstream
        }
}
