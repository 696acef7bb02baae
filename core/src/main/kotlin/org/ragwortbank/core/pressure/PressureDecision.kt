package org.ragwortbank.core.pressure

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration.Companion.seconds

/** Why the answer to a slow caller is ended; [label] is for log lines and metrics. */
enum class CutReason(val label: String) {
    /** The process holds as much as it may, and this answer held most for longest. */
    PROCESS_FULL("process full"),

    /** The connection holds as much as it may, and the upstream would end the answer that isn't read. */
    CONNECTION_FULL("connection full"),

    /** The caller has taken nothing for long. */
    STALLED("nothing taken"),
}

/**
 * What to do about the answers that callers haven't taken.
 *
 * @property readLimits up to how many bytes the upstreams of these are read from now on
 * @property cuts answers to end
 */
data class PressureDecision(
    val readLimits: PersistentMap<RequestNumber, Long> = persistentMapOf(),
    val cuts: PersistentMap<RequestNumber, CutReason> = persistentMapOf(),
)

/** Decides about the answers in [rows] at [now]; where not all fit, [order] says which of them end. */
fun decide(
    rows: Collection<HeldRow>,
    limits: PressureLimits,
    now: Timestamp,
    order: CutOrder = MostForLongest(),
): PressureDecision = PressureDecider(rows, limits, now, order).decide()

private class PressureDecider(
    private val rows: Collection<HeldRow>,
    private val limits: PressureLimits,
    private val now: Timestamp,
    private val order: CutOrder,
) {
    fun decide(): PressureDecision {
        val stalled = rows.filter(::isStalled).fold(PressureDecision()) { result, row ->
            result.cut(row, CutReason.STALLED)
        }
        val bounded = cutUntilFits(stalled)
        return rows.filter(::isDue).sortedBy { it.unreadSince }.fold(bounded, ::readOn)
    }

    private fun isStalled(row: HeldRow): Boolean {
        val pilesUp = row.measure.isComplete || row.measure.bytes > PressureLimits.HIGH_WATER_BYTES
        return pilesUp && now - row.progressAt >= MAX_STALL
    }

    private fun isDue(row: HeldRow): Boolean = row.unreadSince?.let { now - it >= MAX_UNREAD } ?: false

    /** Lets the upstream of [row] be read on, or ends answers: its own at its bound, else those that hold most. */
    private fun readOn(decision: PressureDecision, row: HeldRow): PressureDecision {
        val limit = row.measure.bytes + READ_STEP_BYTES
        return when {
            row.number in decision.cuts -> decision
            limit > limits.connectionBytes -> decision.cut(row, CutReason.CONNECTION_FULL)
            else -> cutUntilFits(decision.copy(readLimits = decision.readLimits.put(row.number, limit)))
        }
    }

    private tailrec fun cutUntilFits(decision: PressureDecision): PressureDecision {
        val kept = rows.filter { it.number !in decision.cuts }
        val reserved = kept.sumOf { maxOf(it.reservedBytes, decision.readLimits[it.number] ?: 0) }
        val worst = order.firstOf(kept, now)
        if (worst == null || reserved <= limits.untakenBytes) return decision
        return cutUntilFits(decision.cut(worst, CutReason.PROCESS_FULL))
    }

    private fun PressureDecision.cut(row: HeldRow, reason: CutReason): PressureDecision =
        copy(cuts = cuts.put(row.number, reason), readLimits = readLimits.remove(row.number))

    private companion object {
        /** Upstreams end an answer that stays unread for some seconds, which are two at least. */
        val MAX_UNREAD = 1.seconds

        /** A caller that takes nothing for longer is taken for gone. */
        val MAX_STALL = 10.seconds
        const val READ_STEP_BYTES = 65_536L
    }
}
