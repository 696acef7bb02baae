package org.ragwortbank.core.admission

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tokens that had been used up to [takenAt], since an arbitrary beginning. */
data class UseSample(
    val takenAt: Timestamp,
    val usedTotal: Double,
)

/**
 * What an account has used lately over the fleet, as far as a gateway knows.
 *
 * @property usedTotal tokens used since an arbitrary beginning
 * @property samples earlier totals, the oldest first
 */
data class WindowUse(
    val usedTotal: Double = 0.0,
    val samples: PersistentList<UseSample> = persistentListOf(),
) {
    /** This use with [tokens] more; a negative number returns tokens. */
    fun plus(tokens: Double): WindowUse = copy(usedTotal = usedTotal + tokens)

    /**
     * This use with a sample of its total at [now], without samples that [window] no longer needs: of those from before
     * the window it needs the latest, however old.
     */
    fun sample(now: Timestamp, window: Duration): WindowUse {
        val isDue = samples.lastOrNull()?.let { now - it.takenAt >= SAMPLE_INTERVAL } ?: true
        if (!isDue) return this
        val firstNeeded = samples.indexOfLast { now - it.takenAt >= window }.coerceAtLeast(0)
        return copy(samples = samples.drop(firstNeeded).toPersistentList().add(UseSample(now, usedTotal)))
    }

    /** Tokens used within [window] before [now], or since the first sample. */
    fun within(window: Duration, now: Timestamp): Double {
        val before = samples.lastOrNull { now - it.takenAt >= window } ?: samples.firstOrNull()
        return usedTotal - (before?.usedTotal ?: 0.0)
    }

    /** Whether it is known what was used in all of [window] before [now]. */
    fun covers(window: Duration, now: Timestamp): Boolean = samples.any { now - it.takenAt >= window }

    private companion object {
        val SAMPLE_INTERVAL = 250.milliseconds
    }
}
