package org.ragwortbank.core.sidecar

import org.ragwortbank.core.tick.Timestamp

/**
 * A row of a sidecar's adapters table; an adapter without a row is not loaded in the engine.
 *
 * @property activeRuns runs in progress on the adapter; it is not unloaded while there are any
 * @property lastUsedAt when a run on the adapter last started or ended
 * @property stateChangedAt when the adapter entered [state]
 */
data class AdapterRow(
    val state: AdapterState,
    val stateChangedAt: Timestamp,
    val activeRuns: Int = 0,
    val lastUsedAt: Timestamp = stateChangedAt,
) {
    /** Whether the adapter occupies one of the engine's slots. */
    val occupiesSlot: Boolean get() = state != AdapterState.FAILED

    /** Whether the adapter may be unloaded. */
    val isEvictable: Boolean get() = state == AdapterState.RESIDENT && activeRuns == 0
}
