package org.ragwortbank.core.versions

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayStep
import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.gateway.log
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.StreamId
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Streams that one record holds. */
internal const val MAX_STREAMS = 256
private val SAVE_INTERVAL_PER_GATEWAY = 20.milliseconds
private val SAVE_INTERVALS = 100.milliseconds..1.seconds

/** After it, a write counts as lost whose outcome isn't reported. */
private val SAVE_TIMEOUT = 2.seconds

/** Asks the store for the next record, if none is open, or again for the open one. */
internal fun GatewayStep.saveStreamRecord(now: Timestamp): GatewayStep {
    val outbox = tables.streamVersions.outbox
    val open = outbox.open
    val isEarly = when {
        open == null -> outbox.askedAt?.let { now - it < saveInterval(tables) } ?: false
        else -> open.retryAt?.let { now < it } ?: (now - open.askedAt < SAVE_TIMEOUT)
    }
    val save = if (isEarly) null else open ?: nextSave(tables, now)
    return if (save != null && tables.mayRecord(save, now)) ask(save, now) else this
}

/** A record is the same each time that it is asked for: an earlier write may be carried out after a later one. */
private fun GatewayStep.ask(save: RecordSave, now: Timestamp): GatewayStep {
    val record = save.record
    val text = "asks the store for a record of ${record.streams.size} streams of ${record.service}"
    val besides = "${save.beside.sumOf { it.streams.size }} streams beside it"
    return log(LogPart.ROUTING, "$text at ${record.version}, number ${record.key.number}, $besides")
        .emit(GatewayEffect.SaveStreamRecord(record, save.beside))
        .updateOutbox { it.withAsked(save, now) }
}

private fun nextSave(tables: GatewayTables, now: Timestamp): RecordSave? {
    val outbox = tables.streamVersions.outbox
    val due = outbox.unrecorded.filterKeys { tables.requests[it]?.needsRecord == true }
    val first = due.values.firstOrNull { tables.mayRecord(it, now) }
    return when {
        first != null -> gathered(tables, first, due.filterValues { it == first }.keys, now)
        outbox.lost.isNotEmpty() || tables.hasUrgentUnawaited() -> unawaitedSave(tables, now)
        else -> null
    }
}

private fun unawaitedSave(tables: GatewayTables, now: Timestamp): RecordSave? {
    val records = tables.unawaitedRecords(tables.streamVersions.outbox.lastNumber)
    return records.firstOrNull()?.let { RecordSave(it, persistentSetOf(), now, records.removeAt(0)) }
}

private fun gathered(
    tables: GatewayTables,
    begun: UnrecordedStream,
    due: Set<RequestNumber>,
    now: Timestamp,
): RecordSave {
    val requests = due.take(MAX_STREAMS).toPersistentSet()
    val streams = requests.mapNotNull { tables.requests[it] }.map { StreamId(it.call.id) }.toPersistentSet()
    val number = tables.streamVersions.outbox.lastNumber + 1
    val key = StreamRecordKey(tables.identity.name, tables.identity.incarnation, number)
    val record = StreamRecord(key, begun.service, begun.version, streams)
    return RecordSave(record, requests, now, tables.unawaitedRecords(number))
}

/** All gateways together stay within a rate of writes. */
private fun saveInterval(tables: GatewayTables): Duration =
    (SAVE_INTERVAL_PER_GATEWAY * tables.gatewayCount).coerceIn(SAVE_INTERVALS)

/** A record that the store has lost is asked for at any time: its streams have begun. */
private fun GatewayTables.mayRecord(save: RecordSave, now: Timestamp): Boolean =
    save.requests.isEmpty() || mayRecord(save.record.begunAt, now)

/** Whether streams of this version may be recorded: while it is admitted by a fresh read, or the base anyway. */
private fun GatewayTables.mayRecord(stream: UnrecordedStream, now: Timestamp): Boolean {
    val versions = streamVersions.services[stream.service]?.stored ?: return false
    val isFresh = streamVersions.storeReadAt?.let { now - it <= VersionTimes.STREAM_LEASE } ?: false
    return versions.base == stream.version || (isFresh && stream.version in versions.admitted)
}

/** Whether the streams of [record] are at the base version, so that it changes nothing. */
internal fun GatewayTables.isBase(record: StreamRecord): Boolean =
    streamVersions.services[record.service]?.stored?.base == record.version

/** What the streams of this record have in common. */
internal val StreamRecord.begunAt: UnrecordedStream get() = UnrecordedStream(service, version)

internal fun GatewayStep.updateOutbox(change: (RecordOutbox) -> RecordOutbox): GatewayStep =
    updateVersions { it.copy(outbox = change(it.outbox)) }
