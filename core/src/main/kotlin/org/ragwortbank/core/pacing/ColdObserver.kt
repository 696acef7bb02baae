package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.RequestStage
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.AttemptOutcome
import org.ragwortbank.core.selection.UpstreamObserver
import org.ragwortbank.core.tick.Timestamp

/** Notes what is sent to an upstream that may be cold, and the outages from which it may come back cold. */
class ColdObserver : UpstreamObserver {
    override fun onSent(upstream: UpstreamRow, request: RequestRow, now: Timestamp): UpstreamRow =
        upstream.copy(cold = upstream.cold?.withRequestSent(now))

    override fun onOutcome(
        upstream: UpstreamRow,
        request: RequestRow,
        outcome: AttemptOutcome,
        now: Timestamp,
    ): UpstreamRow {
        val sentAt = (request.stage as? RequestStage.Sent)?.sentAt
        val isMisdirected = outcome is AttemptOutcome.Rejected && outcome.isMisdirected
        val isUncounted = outcome == AttemptOutcome.NotSent || isMisdirected
        val returned = if (isUncounted && sentAt != null) upstream.cold?.withoutRequestSent(sentAt) else upstream.cold
        val isFailure = outcome == AttemptOutcome.NotSent || outcome == AttemptOutcome.Lost
        val isOutage = isFailure && upstream.health.failures >= OUTAGE_FAILURES
        return upstream.copy(cold = if (isOutage) returned?.copy(outageAt = now) else returned)
    }

    private companion object {
        const val OUTAGE_FAILURES = 2
    }
}
