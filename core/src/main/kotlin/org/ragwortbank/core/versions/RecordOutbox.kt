package org.ragwortbank.core.versions

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.serving.StreamId
import org.ragwortbank.core.tick.Timestamp

/** The version that the stream of a request begins at, not yet in any record. */
data class UnrecordedStream(
    val service: ServiceName,
    val version: SoftwareVersion,
)

/**
 * A record that the store was last asked at [askedAt] to keep, for the streams of [requests].
 *
 * @property beside records for which no request waits, in the same write
 * @property retryAt when to ask again, because it isn't known whether the store keeps it; null while that is open
 */
data class RecordSave(
    val record: StreamRecord,
    val requests: PersistentSet<RequestNumber>,
    val askedAt: Timestamp,
    val beside: PersistentList<StreamRecord> = persistentListOf(),
    val retryAt: Timestamp? = null,
) {
    /** All records of the write. */
    val records: List<StreamRecord> get() = listOf(record) + beside
}

/** A record of this gateway that the store has kept since [at]. */
data class SavedRecord(
    val record: StreamRecord,
    val at: Timestamp,
)

/**
 * Records on their way to the store.
 *
 * @property unrecorded streams for the next records, in the order of their sending
 * @property unawaited streams that have begun without a record, for which one may be saved
 * @property open the record that the store is asked to keep; null if there is none
 * @property lastNumber number of the latest record
 * @property saved records that the store keeps, for the longest life of a stream
 * @property lost those that it may have lost and is to keep again
 * @property askedAt when the store was last asked to keep a record
 */
data class RecordOutbox(
    val unrecorded: PersistentMap<RequestNumber, UnrecordedStream> = persistentMapOf(),
    val unawaited: PersistentMap<StreamId, UnrecordedStream> = persistentMapOf(),
    val open: RecordSave? = null,
    val lastNumber: Long = 0,
    val saved: PersistentMap<StreamRecordKey, SavedRecord> = persistentMapOf(),
    val lost: PersistentList<StreamRecord> = persistentListOf(),
    val askedAt: Timestamp? = null,
) {
    /** Whether there is nothing to save. */
    val isEmpty: Boolean get() = open == null && unrecorded.isEmpty() && unawaited.isEmpty() && lost.isEmpty()

    /** With [stream], which has begun at [begunAt], unless as many as [limit] wait already. */
    fun withUnawaited(stream: StreamId, begunAt: UnrecordedStream, limit: Int): RecordOutbox =
        if (unawaited.size >= limit) this else copy(unawaited = unawaited.put(stream, begunAt))

    /** After the store was asked at [now] to keep the records of [save]. */
    fun withAsked(save: RecordSave, now: Timestamp): RecordOutbox =
        copy(
            open = save.copy(askedAt = now, retryAt = null),
            lastNumber = maxOf(lastNumber, save.records.maxOf { it.key.number }),
            unrecorded = unrecorded.without(save.requests),
            unawaited = save.records.flatMap { it.streams }.fold(unawaited) { left, stream -> left.remove(stream) },
            askedAt = now,
        )

    /** After the store turned out to keep the records of [save], the open one. */
    fun withSaved(save: RecordSave, now: Timestamp): RecordOutbox =
        copy(
            open = null,
            lost = lost.removeAll(save.records),
            saved = saved.putAll(save.records.associate { it.key to SavedRecord(it, now) }),
        )

    /** Without the streams of [requests], and without the open record if [dropsOpen]; those beside it are kept. */
    fun without(requests: Set<RequestNumber>, dropsOpen: Boolean): RecordOutbox {
        val left = copy(unrecorded = unrecorded.without(requests))
        return if (dropsOpen) left.copy(open = null, lost = lost.addAll(open?.beside.orEmpty())) else left
    }

    private fun PersistentMap<RequestNumber, UnrecordedStream>.without(
        requests: Set<RequestNumber>,
    ): PersistentMap<RequestNumber, UnrecordedStream> = requests.fold(this) { kept, number -> kept.remove(number) }
}
