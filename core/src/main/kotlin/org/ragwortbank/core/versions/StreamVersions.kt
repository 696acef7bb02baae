package org.ragwortbank.core.versions

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.serving.StreamId
import org.ragwortbank.core.tick.Timestamp

/**
 * What a gateway knows of the software versions at which resumable streams began or may begin.
 *
 * @property storeReadAt when the latest read of the store was requested whose answer is applied; null before the first
 * @property records streams that began at admitted versions, as the store has them
 * @property recordOf the record of each of these streams
 * @property begun streams that began here or were taken up here
 * @property held requests whose answers have begun and aren't passed on yet
 * @property era the store's era that is read; null before the first answer
 * @property undoubted services none of whose records that matter was lost with the era before, as this gateway has seen
 */
data class StreamVersions(
    val storeReadAt: Timestamp? = null,
    val services: PersistentMap<ServiceName, VersionRow> = persistentMapOf(),
    val records: PersistentMap<StreamRecordKey, StreamRecord> = persistentMapOf(),
    val recordOf: PersistentMap<StreamId, StreamRecordKey> = persistentMapOf(),
    val begun: PersistentMap<StreamId, BegunStream> = persistentMapOf(),
    val refresh: StoreRefresh = StoreRefresh(),
    val outbox: RecordOutbox = RecordOutbox(),
    val held: PersistentSet<RequestNumber> = persistentSetOf(),
    val era: StoreEra? = null,
    val undoubted: PersistentSet<ServiceName> = persistentSetOf(),
    val sweptAt: Timestamp? = null,
) {
    /** After an answer of the store of era [number] was applied at [now]. */
    fun inEra(number: Long, now: Timestamp): StreamVersions =
        copy(era = era?.withAnswer(number, now) ?: StoreEra(number, now))

    /** After the answer to a read of the store that was requested at [requestedAt] was applied. */
    fun afterRead(requestedAt: Timestamp): StreamVersions =
        copy(
            storeReadAt = storeReadAt?.let { maxOf(it, requestedAt) } ?: requestedAt,
            refresh = refresh.answered(requestedAt),
        )

    /** With [change] applied to the row of [service]. */
    fun updateService(service: ServiceName, change: (VersionRow) -> VersionRow): StreamVersions =
        copy(services = services.put(service, change(services[service] ?: VersionRow())))

    /** With [record] as the store has it. */
    fun withRecord(record: StreamRecord): StreamVersions {
        if (records[record.key] == record) return this
        return copy(
            records = records.put(record.key, record),
            recordOf = recordOf.putAll(record.streams.associateWith { record.key }),
        )
    }

    /** Without the record [key]. */
    fun withoutRecord(key: StreamRecordKey): StreamVersions {
        val record = records[key] ?: return this
        val left = record.streams.filter { recordOf[it] == key }
            .fold(recordOf) { kept, stream -> kept.remove(stream) }
        return copy(records = records.remove(key), recordOf = left)
    }

    /** Version of [stream] of [service] by its record; null if there is none. */
    fun recordedVersion(service: ServiceName, stream: StreamId): SoftwareVersion? =
        recordOf[stream]?.let { records[it] }?.takeIf { it.service == service }?.version

    /** Version of [stream] of [service] if it began here or was taken up here; null if it isn't known. */
    fun begunVersion(service: ServiceName, stream: StreamId): SoftwareVersion? =
        begun[stream]?.takeIf { it.service == service }?.version

    /** With [stream] known; what doesn't fit in any more is decided by a read of the store. */
    fun withBegun(stream: StreamId, known: BegunStream): StreamVersions =
        if (begun.size >= MAX_BEGUN && stream !in begun) this else copy(begun = begun.put(stream, known))

    /** With all recorded streams known, whatever becomes of their records. */
    fun withRecordedKnown(now: Timestamp): StreamVersions =
        records.values.fold(this) { all, record ->
            record.streams.fold(all) { known, stream ->
                known.withBegun(stream, BegunStream(record.service, record.version, now))
            }
        }

    /** Without the streams that are over. */
    fun withoutExpired(now: Timestamp): StreamVersions {
        val isAnyOver = begun.values.any { now - it.notedAt > VersionTimes.STREAM_LIFETIME }
        val savedOver = outbox.saved.filterValues { now - it.at > VersionTimes.STREAM_LIFETIME }.keys
        val current = begun.filterValues { now - it.notedAt <= VersionTimes.STREAM_LIFETIME }
        return copy(
            begun = if (isAnyOver) current.toPersistentMap() else begun,
            outbox = outbox.copy(saved = savedOver.fold(outbox.saved) { kept, key -> kept.remove(key) }),
        )
    }

    private companion object {
        const val MAX_BEGUN = 16_384
    }
}
