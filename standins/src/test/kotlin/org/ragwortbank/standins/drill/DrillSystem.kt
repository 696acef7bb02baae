package org.ragwortbank.standins.drill

import kotlin.time.Duration

/** A part of a drill, which runs in each tick. */
fun interface DrillSystem {
    /** Returns [tables] after what is due at [now]. */
    fun run(now: Duration, tables: DrillTables): DrillTables
}
