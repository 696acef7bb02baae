package org.ragwortbank.core.sidecar

import org.ragwortbank.core.tick.Timestamp

/**
 * A row of a sidecar's adapters table; an adapter without a row is not in the engine.
 *
 * @property activeRuns requests that run on it; while there are any it is never unloaded
 * @property lastUsedAt when a request last started or ended on it
 * @property stateChangedAt when [state] was entered
 */
data class AdapterRow(
    val state: AdapterState,
    val stateChangedAt: Timestamp,
    val activeRuns: Int = 0,
    val lastUsedAt: Timestamp = stateChangedAt,
) {
    /** Whether it takes one of the engine's slots. */
    val occupiesSlot: Boolean get() = state != AdapterState.FAILED

    /** Whether it may be unloaded. */
    val isEvictable: Boolean get() = state == AdapterState.RESIDENT && activeRuns == 0
}
