package org.ragwortbank.node.entry

import org.ragwortbank.core.entry.EntryEffect
import org.ragwortbank.node.metrics.NodeMetrics

/** Writes the answers that an entry decides on to the callers that wait for them. */
internal class EntryAnswers(private val calls: CallRegistry, private val metrics: NodeMetrics) {
    /** Performs [effect], unless its caller is gone. */
    fun perform(effect: EntryEffect.OnCaller) {
        when (effect) {
            is EntryEffect.BeginAnswer -> calls.find(effect.request)?.writeHead(effect.head)
            is EntryEffect.SendAnswerChunk -> calls.find(effect.request)?.writeChunk(effect.data)
            is EntryEffect.CompleteAnswer -> end(effect)
            is EntryEffect.Refuse -> refuse(effect)
        }
    }

    private fun end(effect: EntryEffect.CompleteAnswer) {
        metrics.recordAnswered()
        calls.remove(effect.request)?.complete()
    }

    private fun refuse(effect: EntryEffect.Refuse) {
        metrics.recordRefused(effect.refusal)
        calls.remove(effect.request)?.writeRefusal(effect.refusal)
    }
}
