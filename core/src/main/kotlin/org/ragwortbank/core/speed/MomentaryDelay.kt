package org.ragwortbank.core.speed

import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.ranking.DelayTerm
import org.ragwortbank.core.selection.SelectionContext

/** What the request loses because the upstream has stated lately that it is slow at the moment. */
class MomentaryDelay : DelayTerm {
    override fun millisAt(context: SelectionContext, upstream: UpstreamRow, state: AdapterState): Double {
        val slowness = upstream.slowness ?: return 0.0
        val answerMillis = context.request.call.answerTokens * context.speeds.millisPerToken(upstream)
        return slowness.lossMillis(upstream.health.delayMillis + answerMillis, context.now)
    }
}
