package org.ragwortbank.core.pacing

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The usual time to the first event of a service's answers.
 *
 * @property millis moving average in milliseconds, by class of prompt tokens
 */
data class DelayNorm(val millis: PersistentMap<Int, Double> = persistentMapOf()) {
    /** The usual delay in milliseconds with [promptTokens] to read; null if there was none like it. */
    fun millisFor(promptTokens: Long): Double? = millis[classOf(promptTokens)]

    /** The norm after an answer that began after [delay]; it falls faster than it rises. */
    fun afterAnswer(delay: Duration, promptTokens: Long): DelayNorm {
        val found = delay.toDouble(DurationUnit.MILLISECONDS)
        val key = classOf(promptTokens)
        val usual = millis[key] ?: found
        val weight = if (found < usual) WEIGHT_OF_LESS else WEIGHT_OF_MORE
        return DelayNorm(millis.put(key, usual + (found - usual) * weight))
    }

    private fun classOf(promptTokens: Long): Int = Long.SIZE_BITS - (promptTokens / CLASS_TOKENS).countLeadingZeroBits()

    private companion object {
        /** Prompts shorter than this are one class; each further class is twice as long. */
        const val CLASS_TOKENS = 256
        const val WEIGHT_OF_LESS = 0.2
        const val WEIGHT_OF_MORE = 0.01
    }
}
