package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.serving.SoftwareVersion

/** What is known of the version at which a stream goes on that a request takes up. */
internal sealed interface TakeUp {
    /** It goes on at [version]; [source] tells how that is known. */
    data class Known(val version: SoftwareVersion, val source: String) : TakeUp

    /** A read of the store decides it. */
    data object NeedsRead : TakeUp

    /** The store has no versions of the service yet. */
    data object NeedsVersions : TakeUp

    /** It can't be known for now; [reason] is for the caller. */
    data class Unknown(val reason: String, val mayReturn: Boolean) : TakeUp
}

/** Decides at which version the stream goes on that [request] takes up. */
internal fun GatewayTables.takeUpOf(request: RequestRow): TakeUp {
    val all = streamVersions
    val stream = request.call.resumption?.stream
    val begun = stream?.let { all.begunVersion(request.service, it) }
    val recorded = stream?.let { all.recordedVersion(request.service, it) }
    val versions = all.services[request.service]?.stored
    return when {
        begun != null -> TakeUp.Known(begun, "own memory")
        recorded != null -> TakeUp.Known(recorded, "its record")
        versions == null -> TakeUp.NeedsVersions
        !isReadSince(request) && !isSettledFor(request) -> TakeUp.NeedsRead
        areRecordsInDoubt(request.service) ->
            TakeUp.Unknown("the store may have lost its record", mayReturn = stream != null)
        stream == null && hasOtherRecords(request, versions) ->
            TakeUp.Unknown("it doesn't name the stream, and several versions serve", mayReturn = false)
        else -> TakeUp.Known(versions.base, "base")
    }
}

/** Whether the store was read after [request] arrived: all that a caller has seen is recorded by then. */
private fun GatewayTables.isReadSince(request: RequestRow): Boolean =
    streamVersions.storeReadAt?.let { it >= request.arrivedAt } ?: false

/**
 * Whether no stream at another version than the base can have had an event before [request] arrived, by a read before
 * that: none was admitted then, and what had been admitted earlier was recorded.
 */
private fun GatewayTables.isSettledFor(request: RequestRow): Boolean {
    val readAt = streamVersions.storeReadAt
    val settledAt = streamVersions.services[request.service]?.settledAt
    if (readAt == null || settledAt == null || areRecordsInDoubt(request.service)) return false
    return request.arrivedAt - readAt <= VersionTimes.STREAM_LEASE && readAt - settledAt >= VersionTimes.SETTLE_TIME
}

private fun GatewayTables.hasOtherRecords(request: RequestRow, versions: ServiceVersions): Boolean =
    streamVersions.records.values.any { it.service == request.service && it.version != versions.base }
