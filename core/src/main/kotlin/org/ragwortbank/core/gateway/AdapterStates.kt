package org.ragwortbank.core.gateway

import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.tick.Timestamp

/** The state of [adapter] at [row]; a request without an adapter can run on any upstream. */
internal fun GatewayTables.adapterState(adapter: AdapterKey?, row: UpstreamRow, now: Timestamp): AdapterState =
    if (adapter == null) AdapterState.RESIDENT else usableState(adapter, row, now) ?: unusableState(adapter, row, now)

/** The state if a usable version of the adapter is resident; null otherwise. */
private fun GatewayTables.usableState(adapter: AdapterKey, row: UpstreamRow, now: Timestamp): AdapterState? {
    val digest = row.freshDigest(now, settings.engineDigestLifetime)
    val resident = (if (digest != null) digest.resident[adapter] else row.registration.resident[adapter]) ?: return null
    val newest = versions[adapter]
    return when {
        newest == null || resident >= newest.version -> AdapterState.RESIDENT
        resident >= newest.previous && now - newest.learnedAt < settings.previousVersionLifetime ->
            AdapterState.PREVIOUS_VERSION
        else -> null
    }
}

private fun GatewayTables.unusableState(adapter: AdapterKey, row: UpstreamRow, now: Timestamp): AdapterState {
    val digest = row.freshDigest(now, settings.engineDigestLifetime)
    val minVersion = versions[adapter]?.version ?: 0
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
