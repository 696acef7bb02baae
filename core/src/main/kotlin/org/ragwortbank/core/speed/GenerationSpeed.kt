package org.ragwortbank.core.speed

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What the runs of an engine generated between two of its reports, the second at [endedAt].
 *
 * @property millisPerToken time for one token of a run, in milliseconds
 */
data class SpeedSample(
    val millisPerToken: Double,
    val endedAt: Timestamp,
)

/**
 * How fast an engine generates, learned from its reports.
 *
 * @property samples latest samples, the oldest first
 * @property generating tokens in memory of each run that generated at [measuredAt], by its ID
 * @property measuredAt when the report was requested with which later ones are compared; null before the first
 */
data class GenerationSpeed(
    val samples: PersistentList<SpeedSample> = persistentListOf(),
    val generating: PersistentMap<String, Long> = persistentMapOf(),
    val measuredAt: Timestamp? = null,
) {
    /**
     * Time for one token of a run in milliseconds; null while there is no recent evidence.
     *
     * The fastest of the latest samples: the others contain slow moments of the machine and pauses for prompts, which
     * pass and depend on what is sent there.
     */
    fun millisPerToken(now: Timestamp): Double? =
        samples.filter { now - it.endedAt <= LIFETIME }.minOfOrNull { it.millisPerToken }

    /** The speed after a report that was requested at [now], with the tokens of each run that generates. */
    fun after(report: PersistentMap<String, Long>, now: Timestamp): GenerationSpeed {
        val elapsed = measuredAt?.let { now - it }
        return when {
            elapsed == null -> copy(generating = report, measuredAt = now)
            elapsed < MIN_INTERVAL -> this
            else -> GenerationSpeed(samplesWith(sample(report, elapsed, now)), report, now)
        }
    }

    private fun samplesWith(sample: SpeedSample?): PersistentList<SpeedSample> =
        if (sample == null) samples else (samples + sample).takeLast(MAX_SAMPLES).toPersistentList()

    private fun sample(report: PersistentMap<String, Long>, elapsed: Duration, now: Timestamp): SpeedSample? {
        val generated = report.mapNotNull { (id, tokens) -> generating[id]?.let { tokens - it }?.takeIf { it > 0 } }
        if (generated.isEmpty()) return null
        return SpeedSample(elapsed.toDouble(DurationUnit.MILLISECONDS) * generated.size / generated.sum(), now)
    }

    private companion object {
        /** Shorter times between two reports hold too few tokens to tell the speed. */
        val MIN_INTERVAL = 300.milliseconds

        /** Covers several of the short slow moments that a shared machine has. */
        const val MAX_SAMPLES = 8

        /** After this time without runs, the machine's speed may have changed. */
        val LIFETIME = 20.seconds
    }
}
