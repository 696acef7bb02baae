package org.ragwortbank.core.speed

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * A fitted line of the time to the first part of an answer by the tokens of the prompt, over fading samples. Its slope
 * is the time to read a token; what doesn't depend on the prompt stays in its intercept.
 *
 * @property weight number of samples, the older ones counted less
 */
data class PromptReading(
    val weight: Double = 0.0,
    val tokens: Double = 0.0,
    val millis: Double = 0.0,
    val tokensByTokens: Double = 0.0,
    val tokensByMillis: Double = 0.0,
) {
    /** The line after an answer to a prompt of [promptTokens] that began after [delay]. */
    fun after(promptTokens: Long, delay: Duration): PromptReading =
        faded(FADE_PER_SAMPLE) + sample(promptTokens.toDouble(), delay.toDouble(DurationUnit.MILLISECONDS))

    /** The line over the samples of both. */
    operator fun plus(other: PromptReading): PromptReading =
        PromptReading(
            weight + other.weight,
            tokens + other.tokens,
            millis + other.millis,
            tokensByTokens + other.tokensByTokens,
            tokensByMillis + other.tokensByMillis,
        )

    /** Time to read a token in milliseconds; null while the samples are few, alike, or say that reading takes none. */
    val millisPerToken: Double?
        get() {
            val spread = weight * tokensByTokens - tokens * tokens
            if (weight < MIN_WEIGHT || spread <= MIN_SPREAD * weight * tokensByTokens) return null
            return ((weight * tokensByMillis - tokens * millis) / spread).takeIf { it > 0.0 }
        }

    private fun faded(share: Double) =
        PromptReading(weight * share, tokens * share, millis * share, tokensByTokens * share, tokensByMillis * share)

    private companion object {
        const val FADE_PER_SAMPLE = 0.98
        const val MIN_WEIGHT = 20.0

        /** Prompts whose lengths differ by less than a tenth of the mean tell nothing. */
        const val MIN_SPREAD = 0.01

        fun sample(tokens: Double, millis: Double) =
            PromptReading(1.0, tokens, millis, tokens * tokens, tokens * millis)
    }
}
