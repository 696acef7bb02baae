package org.ragwortbank.core.gateway

import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.tick.Timestamp

/**
 * Tells the state of one adapter at each upstream at [now].
 *
 * @property adapter the adapter; a request without one can run on any upstream
 */
internal class AdapterStates(
    private val tables: GatewayTables,
    private val adapter: AdapterKey?,
    private val now: Timestamp,
) {
    private val newest = adapter?.let { tables.versions[it] }
    private val digestLifetime = tables.engineDigestLifetime
    private val isPreviousUsable =
        newest != null && now - newest.learnedAt < tables.settings.previousVersionLifetime

    /** The state at [row]. */
    fun at(row: UpstreamRow): AdapterState =
        if (adapter == null) AdapterState.RESIDENT else usableState(adapter, row) ?: unusableState(adapter, row)

    /** The upstream's latest digest unless it is too old. */
    fun freshDigest(row: UpstreamRow) = row.freshDigest(now, digestLifetime)

    /** The state if a usable version of the adapter is resident; null otherwise. */
    private fun usableState(adapter: AdapterKey, row: UpstreamRow): AdapterState? {
        val digest = freshDigest(row)
        val known = if (digest != null) digest.resident else row.registration.resident
        val resident = known[adapter] ?: return null
        return when {
            newest == null || resident >= newest.version -> AdapterState.RESIDENT
            isPreviousUsable && resident >= newest.previous && !row.hasQueue -> AdapterState.PREVIOUS_VERSION
            else -> null
        }
    }

    private fun unusableState(adapter: AdapterKey, row: UpstreamRow): AdapterState {
        val digest = freshDigest(row)
        val minVersion = newest?.version ?: 0
        val isAtLeast = { version: Long? -> version != null && version >= minVersion }
        val isOutdated = digest?.resident?.containsKey(adapter) ?: (adapter in row.registration.resident)
        val isInUse = adapter in row.inUse || digest?.inUse?.contains(adapter) == true
        return when {
            isAtLeast(digest?.loading?.get(adapter)) -> AdapterState.LOADING
            isOutdated && isInUse -> AdapterState.OUTDATED
            isAtLeast(row.previouslyResident[adapter]) -> AdapterState.CACHED
            else -> AdapterState.ABSENT
        }
    }
}
