package org.ragwortbank.core.sidecar

import org.ragwortbank.core.tick.Timestamp

/**
 * A row of a sidecar's adapters table; an adapter without a row is not in the engine.
 *
 * @property running requests that run on it; while there are any it is never unloaded
 * @property usedAt when a request last started or ended on it
 * @property changedAt when [state] was entered
 */
data class AdapterRow(
    val state: AdapterState,
    val changedAt: Timestamp,
    val running: Int = 0,
    val usedAt: Timestamp = changedAt,
) {
    /** Whether it takes one of the engine's slots. */
    val takesSlot: Boolean get() = state != AdapterState.FAILED

    /** Whether it may be unloaded. */
    val evictable: Boolean get() = state == AdapterState.RESIDENT && running == 0
}
