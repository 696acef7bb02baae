package org.ragwortbank.core.pacing

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.milliseconds

/** Each gateway sends as much as it has. */
internal class NoPace : PaceRule {
    override fun startLimit(conditions: PaceConditions) = 1_000.0

    override fun afterSample(row: PaceRow, sample: PaceSample, conditions: PaceConditions, now: Timestamp) = row

    override fun whileIdle(row: PaceRow, conditions: PaceConditions, now: Timestamp) = row
}

/** Doubles the limit each 300 ms whatever the answers are, and begins anew after a failure. */
internal class FixedRamp : PaceRule {
    private val start = LoadFollowingPace()

    override fun startLimit(conditions: PaceConditions) = start.startLimit(conditions)

    override fun afterSample(row: PaceRow, sample: PaceSample, conditions: PaceConditions, now: Timestamp): PaceRow =
        when (sample) {
            is PaceSample.Failed -> row.copy(limit = startLimit(conditions), changedAt = now)
            else -> whileIdle(row, conditions, now)
        }

    override fun whileIdle(row: PaceRow, conditions: PaceConditions, now: Timestamp): PaceRow {
        val isDue = now - row.changedAt >= 300.milliseconds
        val doubled = (row.limit * 2).coerceAtMost(conditions.slots.toDouble())
        return if (isDue) row.copy(limit = doubled, changedAt = now) else row
    }
}
