package org.ragwortbank.core.speed

import org.ragwortbank.core.gateway.AdapterState
import org.ragwortbank.core.gateway.UpstreamRow
import org.ragwortbank.core.ranking.DelayTerm
import org.ragwortbank.core.selection.SelectionContext

/**
 * The time in which an upstream generates the answer, by its learned speed.
 *
 * Callers read an answer while it is generated, so that a delay of its end counts less than one of its beginning.
 */
class CompletionDelay : DelayTerm {
    override fun millisAt(context: SelectionContext, upstream: UpstreamRow, state: AdapterState): Double {
        if (!context.speeds.isUneven) return 0.0
        return context.request.call.answerTokens * END_WEIGHT * context.speeds.millisPerToken(upstream)
    }

    private companion object {
        const val END_WEIGHT = 0.25
    }
}
