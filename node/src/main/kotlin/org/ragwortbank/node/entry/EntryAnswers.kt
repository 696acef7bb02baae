package org.ragwortbank.node.entry

import org.ragwortbank.core.entry.EntryEffect
import org.ragwortbank.node.metrics.NodeMetrics

/** Writes the answers decided by the systems to the callers. */
internal class EntryAnswers(private val answerWriters: AnswerWriterRegistry, private val metrics: NodeMetrics) {
    /** Performs [effect], unless its caller has disconnected. */
    fun perform(effect: EntryEffect.OnCaller) {
        when (effect) {
            is EntryEffect.BeginAnswer -> answerWriters.find(effect.request)?.begin(effect.head)
            is EntryEffect.SendAnswerChunk -> answerWriters.find(effect.request)?.continueWith(effect.data)
            is EntryEffect.CompleteAnswer -> complete(effect)
            is EntryEffect.Refuse -> refuse(effect)
        }
    }

    private fun complete(effect: EntryEffect.CompleteAnswer) {
        metrics.answered()
        answerWriters.remove(effect.request)?.end()
    }

    private fun refuse(effect: EntryEffect.Refuse) {
        metrics.refused(effect.refusal)
        answerWriters.remove(effect.request)?.refuse(effect.refusal)
    }
}
