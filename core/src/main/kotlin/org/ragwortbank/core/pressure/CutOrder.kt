package org.ragwortbank.core.pressure

import org.ragwortbank.core.tick.Timestamp
import kotlin.time.DurationUnit

/** Chooses whose answer ends first when callers leave more untaken than the process may hold. */
fun interface CutOrder {
    /** The one of [rows] to end; null if there are none. */
    fun firstOf(rows: List<HeldRow>, now: Timestamp): HeldRow?
}

/**
 * The answer that holds most for longest: its bytes times the time since its caller last took a part; of equals the one
 * that holds more. So a caller that goes on is cut after all that don't.
 */
class MostForLongest : CutOrder {
    override fun firstOf(rows: List<HeldRow>, now: Timestamp): HeldRow? =
        rows.maxWithOrNull(compareBy({ byteSeconds(it, now) }, { it.measure.bytes }))

    private fun byteSeconds(row: HeldRow, now: Timestamp): Double =
        row.measure.bytes * (now - row.progressAt).toDouble(DurationUnit.SECONDS)
}
