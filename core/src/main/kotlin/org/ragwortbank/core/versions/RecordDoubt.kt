package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.tick.Timestamp

/**
 * Whether the store may lack records of streams of [service], so that a stream without one isn't known to have begun at
 * the base version. The store tells: by the era of its answers, and the one for which its item of the service vouches.
 */
internal fun GatewayTables.areRecordsInDoubt(service: ServiceName): Boolean {
    val versions = streamVersions.services[service]?.stored
    val era = streamVersions.era
    return versions != null && versions.completeEra != era?.number && service !in streamVersions.undoubted
}

/** The store's era if it lacks no record of a stream of [service] that may go on at [now]; null if that isn't known. */
internal fun GatewayTables.completeEraOf(service: ServiceName, now: Timestamp): Long? {
    val era = streamVersions.era ?: return null
    val areLostOver = now - era.readAt >= VersionTimes.DOUBT_TIME
    val isNewService = streamVersions.services[service]?.latest == null
    val isCertain = if (isNewService) isWithoutEarlierStreams(era) else service in streamVersions.undoubted
    return era.number.takeIf { areLostOver || isCertain }
}

/** Whether a service that the store doesn't have in [era], and that isn't known here, can't have been lost with it. */
private fun GatewayTables.isWithoutEarlierStreams(era: StoreEra): Boolean =
    era.number <= StoreEra.FIRST || (identity.isFirstStart && !era.followsLoss)
