package org.ragwortbank.core.pacing

import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.RequestStage
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.AttemptOutcome
import org.ragwortbank.core.selection.UpstreamObserver
import org.ragwortbank.core.tick.Timestamp

/** Notes what attempts show of the pace of an upstream that has a [PaceRow]. */
class PaceObserver : UpstreamObserver {
    override fun onSent(upstream: UpstreamRow, request: RequestRow, now: Timestamp): UpstreamRow {
        val pace = upstream.pace ?: return upstream
        val own = request.call.promptTokens ?: 0
        val unread = if (upstream.inFlight > 1) pace.unread else pace.unread.clear()
        val prompt = UnreadPrompt(own, own + unread.values.sumOf { it.own })
        val metAt = if (upstream.inFlight >= pace.allowed) now else pace.metAt
        return upstream.copy(pace = pace.copy(metAt = metAt, unread = unread.put(request.number, prompt)))
    }

    override fun onOutcome(
        upstream: UpstreamRow,
        request: RequestRow,
        outcome: AttemptOutcome,
        now: Timestamp,
    ): UpstreamRow {
        val pace = upstream.pace ?: return upstream
        val read = pace.copy(unread = pace.unread.remove(request.number))
        val sample = sample(request, outcome, pace.unread[request.number]?.total ?: 0)
        return upstream.copy(pace = sample?.let { read.withSample(it) } ?: read)
    }

    /** A failure's status may be the request's own fault, unless it says that there was no room. */
    private fun sample(request: RequestRow, outcome: AttemptOutcome, promptTokens: Long): PaceSample? {
        val sentAt = (request.stage as? RequestStage.Sent)?.sentAt
        return when (outcome) {
            is AttemptOutcome.Began -> PaceSample.Began(sentAt, outcome.delay, promptTokens)
            is AttemptOutcome.Rejected -> PaceSample.Overloaded(sentAt).takeIf { !outcome.isMisdirected }
            is AttemptOutcome.Failed -> PaceSample.Overloaded(sentAt).takeIf { outcome.status == UNAVAILABLE }
            AttemptOutcome.Expired -> PaceSample.Overloaded(sentAt).takeIf { sentAt != null }
            AttemptOutcome.Lost, AttemptOutcome.NotSent -> PaceSample.Failed(sentAt)
            is AttemptOutcome.Completed, AttemptOutcome.Abandoned -> null
        }
    }

    private companion object {
        const val UNAVAILABLE = 503
    }
}
