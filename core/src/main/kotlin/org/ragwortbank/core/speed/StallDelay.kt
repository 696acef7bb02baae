package org.ragwortbank.core.speed

import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.ranking.DelayTerm
import org.ragwortbank.core.selection.SelectionContext
import kotlin.time.DurationUnit

/**
 * The time to read the prompt and those before it, and what this costs the streams that run there.
 *
 * An engine reads a prompt between two tokens of its streams, so that each of them pauses meanwhile. Callers accept
 * pauses up to a bound; the nearer a pause comes to it, the more each stream counts.
 */
class StallDelay : DelayTerm {
    override fun millisAt(context: SelectionContext, upstream: UpstreamRow, state: AdapterState): Double {
        val speeds = context.speeds
        val usualMillis = speeds.service?.millisPerPromptToken ?: return 0.0
        val own = context.request.call.promptTokens ?: 0
        val unread = context.unreadPromptTokens[upstream.registration.id] ?: 0
        val pauseMillis = (own + unread) * usualMillis * speeds.slownessAt(upstream)
        return pauseMillis + pauseMillis * shareOfBound(context, pauseMillis) * upstream.load
    }

    private fun shareOfBound(context: SelectionContext, pauseMillis: Double): Double =
        context.demands.shortestEventGap?.let { pauseMillis / it.toDouble(DurationUnit.MILLISECONDS) } ?: 0.0
}
