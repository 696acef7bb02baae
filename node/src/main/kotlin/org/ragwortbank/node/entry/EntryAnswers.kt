package org.ragwortbank.node.entry

import org.ragwortbank.core.entry.EntryEffect
import org.ragwortbank.node.metrics.NodeMetrics

/** Writes the answers decided by the systems to the callers. */
internal class EntryAnswers(private val answerWriters: AnswerWriterRegistry, private val metrics: NodeMetrics) {
    /** Performs [effect], unless its caller has disconnected. */
    fun perform(effect: EntryEffect.OnCaller) {
        when (effect) {
            is EntryEffect.BeginAnswer -> answerWriters.find(effect.request)?.writeHead(effect.head)
            is EntryEffect.SendAnswerChunk -> answerWriters.find(effect.request)?.writeChunk(effect.data)
            is EntryEffect.CompleteAnswer -> complete(effect)
            is EntryEffect.Refuse -> refuse(effect)
        }
    }

    private fun complete(effect: EntryEffect.CompleteAnswer) {
        metrics.recordAnswered()
        answerWriters.remove(effect.request)?.complete()
    }

    private fun refuse(effect: EntryEffect.Refuse) {
        metrics.recordRefused(effect.refusal)
        answerWriters.remove(effect.request)?.writeRefusal(effect.refusal)
    }
}
