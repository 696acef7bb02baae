package org.ragwortbank.core.pacing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.tick.Timestamp

/**
 * How an upstream's limit changes.
 *
 * @property label name in log lines
 */
enum class PacePhase(val label: String) {
    /** Quickly upwards, after a start or an outage. */
    RAMPING("ramping up"),

    /** Upwards as far as its answers allow, after evidence that it had too much. */
    PROBING("probing"),

    /** There is no limit. */
    FULL("full"),
}

/**
 * This gateway's pace at an upstream.
 *
 * @property limit requests under way that this gateway may have there, on average over the fleet's gateways
 * @property offset in 0 to 1; of gateways with equal fractional limits it says which send one request more
 * @property changedAt when the limit changed last, or a round ended without a change
 * @property metAt when the limit was met last, or phase began
 * @property lateCount late answers in a row
 * @property slowness lowest recent slowness of its answers against the service's norm; it rises with time
 * @property slownessAt when that was brought up to date
 * @property load running and waiting requests as reported; it falls slowly
 * @property heardAt when a load was last reported
 * @property bears requests that it runs at most, as reported while others waited there; null for its slots
 * @property unread prompt tokens that it had to read for each request that has not begun, those sent before included
 * @property samples what attempts there have shown and the rule hasn't seen
 */
data class PaceRow(
    val phase: PacePhase,
    val limit: Double,
    val offset: Double,
    val changedAt: Timestamp,
    val metAt: Timestamp = changedAt,
    val lateCount: Int = 0,
    val slowness: Double = 1.0,
    val slownessAt: Timestamp = changedAt,
    val load: Double = 0.0,
    val heardAt: Timestamp = changedAt,
    val bears: Double? = null,
    val unread: PersistentMap<RequestNumber, UnreadPrompt> = persistentMapOf(),
    val samples: PersistentList<PaceSample> = persistentListOf(),
) {
    /** Requests that this gateway may have under way there. */
    val allowed: Int get() = if (phase == PacePhase.FULL) SendLimit.UNBOUNDED else (limit + offset).toInt()

    /** Whether the limit was met since it changed; one that allows nothing always is. */
    val isMet: Boolean get() = metAt >= changedAt || allowed == 0

    /** This row with [sample] to be judged; at most the latest ones are kept. */
    fun withSample(sample: PaceSample): PaceRow =
        copy(samples = if (samples.size < MAX_SAMPLES) samples.add(sample) else samples.removeAt(0).add(sample))

    private companion object {
        const val MAX_SAMPLES = 64
    }
}

/**
 * The prompt of a request that has not begun.
 *
 * @property own its tokens
 * @property total its tokens and those of requests that were sent there before and had not begun
 */
data class UnreadPrompt(val own: Long, val total: Long)
