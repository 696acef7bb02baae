package org.ragwortbank.core.versions

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.serving.StreamId

/** Records for which no request waits in one write; the store's transactions take 32 entries. */
private const val MAX_RECORDS = 8

/** Of these, records of streams that have begun, so that lost ones are saved again at the same time. */
private const val MAX_BEGUN_RECORDS = 4

/** Records for which no request waits, numbered after [lastNumber]: of streams that have begun, and lost ones. */
internal fun GatewayTables.unawaitedRecords(lastNumber: Long): PersistentList<StreamRecord> {
    val begun = streamVersions.outbox.unawaited.entries
        .groupBy({ it.value }, { it.key })
        .filterKeys { baseRecording(it.service) != BaseRecording.NONE }
        .entries
        .take(MAX_BEGUN_RECORDS)
        .mapIndexed { index, (begunAt, streams) -> recordOf(begunAt, streams, lastNumber + 1 + index) }
    return (begun + streamVersions.outbox.lost).take(MAX_RECORDS).toPersistentList()
}

private fun GatewayTables.recordOf(begunAt: UnrecordedStream, streams: List<StreamId>, number: Long): StreamRecord {
    val key = StreamRecordKey(identity.name, identity.incarnation, number)
    return StreamRecord(key, begunAt.service, begunAt.version, streams.take(MAX_STREAMS).toPersistentSet())
}

/** Whether streams wait for a record without which they aren't taken up. */
internal fun GatewayTables.hasUrgentUnawaited(): Boolean =
    streamVersions.outbox.unawaited.values.any { baseRecording(it.service) == BaseRecording.URGENT }

/** Streams that this gateway knows, the latest first, and that have no record. */
internal fun StreamVersions.begunWithoutRecord(): Map<StreamId, UnrecordedStream> =
    begun.entries
        .filter { it.key !in recordOf }
        .sortedByDescending { it.value.notedAt }
        .associate { (stream, known) -> stream to UnrecordedStream(known.service, known.version) }
