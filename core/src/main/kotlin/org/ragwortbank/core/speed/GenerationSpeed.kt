package org.ragwortbank.core.speed

import kotlinx.collections.immutable.PersistentMap
import org.ragwortbank.core.tick.Timestamp
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * How fast an engine generates, learned from successive reports.
 *
 * Both sums fade with time, so that the ratio follows a change within some seconds and averages over shorter ones.
 *
 * @property runMillis time that runs have spent generating, in milliseconds
 * @property tokens tokens that they have generated meanwhile
 * @property seenAt when two reports last had a generating run in common; null before
 */
data class GenerationSpeed(
    val runMillis: Double = 0.0,
    val tokens: Double = 0.0,
    val seenAt: Timestamp? = null,
) {
    /** Time for one token of a run in milliseconds; null while there is no recent evidence. */
    fun millisPerToken(now: Timestamp): Double? =
        if (seenAt == null || now - seenAt > LIFETIME || tokens <= 0.0) null else runMillis / tokens

    /**
     * The speed after two reports that are [elapsed] apart, the second at [now].
     *
     * @param before tokens in memory of each run that generated at the first report, by its ID
     * @param after the same at the second report
     */
    fun after(
        before: PersistentMap<String, Long>,
        after: PersistentMap<String, Long>,
        elapsed: Duration,
        now: Timestamp,
    ): GenerationSpeed {
        val generated = after.mapNotNull { (id, tokens) -> before[id]?.let { tokens - it }?.takeIf { it >= 0 } }
        if (generated.isEmpty() || elapsed <= Duration.ZERO) return this
        val fade = seenAt?.let { exp(-((now - it) / MEMORY)) } ?: 0.0
        val elapsedMillis = elapsed.toDouble(DurationUnit.MILLISECONDS)
        return GenerationSpeed(
            runMillis = runMillis * fade + elapsedMillis * generated.size,
            tokens = tokens * fade + generated.sum(),
            seenAt = now,
        )
    }

    private companion object {
        /** Covers several of the short slow moments that a shared machine has. */
        val MEMORY = 4.seconds

        /** After this time without runs, the machine's speed may have changed. */
        val LIFETIME = 20.seconds
    }
}
