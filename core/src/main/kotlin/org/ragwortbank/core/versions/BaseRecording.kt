package org.ragwortbank.core.versions

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.serving.ServiceName

/** Which streams at the base version of a service are recorded; none of them waits for its record. */
internal enum class BaseRecording {
    /** None: a stream without a record began at the base version. */
    NONE,

    /** Those that fit beside a record that is saved anyway, for the case that the store loses others later. */
    BESIDE,

    /** All, since a stream without a record isn't taken up while the store may lack others. */
    URGENT,
}

/** Largest fleet in which records beside others stay within what gateways may read of the store. */
private const val MAX_GATEWAYS_BESIDE = 50

/** Streams that the records beside others hold, for all gateways together in the time between two writes. */
private const val FLEET_STREAMS_BESIDE = 400

/** Streams that wait for a record while all are to be recorded. */
private const val MAX_UNAWAITED = 16_384

/** Which streams at the base version of [service] this gateway has recorded. */
internal fun GatewayTables.baseRecording(service: ServiceName): BaseRecording =
    when {
        areRecordsInDoubt(service) -> BaseRecording.URGENT
        gatewayCount > MAX_GATEWAYS_BESIDE -> BaseRecording.NONE
        streamVersions.services[service]?.stored?.isSettled == true -> BaseRecording.NONE
        else -> BaseRecording.BESIDE
    }

/** Number of streams of [service] that may wait for a record. */
internal fun GatewayTables.maxUnawaited(service: ServiceName): Int =
    when (baseRecording(service)) {
        BaseRecording.NONE -> 0
        BaseRecording.BESIDE -> FLEET_STREAMS_BESIDE / gatewayCount
        BaseRecording.URGENT -> MAX_UNAWAITED
    }

/** The tables without the streams that wait for a record and that need none any more. */
internal fun GatewayTables.withoutNeedlessUnawaited(): GatewayTables {
    val outbox = streamVersions.outbox
    val needless = outbox.unawaited.filterValues { baseRecording(it.service) == BaseRecording.NONE }.keys
    if (needless.isEmpty()) return this
    val left = needless.fold(outbox.unawaited) { kept, stream -> kept.remove(stream) }
    return copy(streamVersions = streamVersions.copy(outbox = outbox.copy(unawaited = left)))
}
