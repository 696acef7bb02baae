package org.ragwortbank.core.speed

import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.selection.AttemptOutcome
import org.ragwortbank.core.selection.UpstreamObserver
import org.ragwortbank.core.tick.Timestamp

/** Learns how long an upstream takes to read prompts, from the answers that begin in time. */
class PromptReadingObserver : UpstreamObserver {
    override fun onOutcome(
        upstream: UpstreamRow,
        request: RequestRow,
        outcome: AttemptOutcome,
        now: Timestamp,
    ): UpstreamRow {
        val promptTokens = request.call.promptTokens
        val isInTime = outcome is AttemptOutcome.Began && outcome.delay <= request.route.targetLatency
        if (outcome !is AttemptOutcome.Began || promptTokens == null || !isInTime) return upstream
        return upstream.copy(reading = upstream.reading.after(promptTokens, outcome.delay))
    }
}
