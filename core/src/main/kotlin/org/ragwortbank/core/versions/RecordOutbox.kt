package org.ragwortbank.core.versions

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.tick.Timestamp

/** The version that the stream of a request begins at, not yet in any record. */
data class UnrecordedStream(
    val service: ServiceName,
    val version: SoftwareVersion,
)

/**
 * A record that the store was last asked at [askedAt] to keep, for the streams of [requests].
 *
 * @property retryAt when to ask again, because it isn't known whether the store keeps it; null while that is open
 */
data class RecordSave(
    val record: StreamRecord,
    val requests: PersistentSet<RequestNumber>,
    val askedAt: Timestamp,
    val retryAt: Timestamp? = null,
)

/** A record of this gateway that the store has kept since [at]. */
data class SavedRecord(
    val record: StreamRecord,
    val at: Timestamp,
)

/**
 * Records on their way to the store.
 *
 * @property unrecorded streams for the next records, in the order of their sending
 * @property open the record that the store is asked to keep; null if there is none
 * @property lastNumber number of the latest record
 * @property saved records that the store keeps, for the longest life of a stream
 * @property lost those that it may have lost and is to keep again
 * @property askedAt when the store was last asked to keep a record
 */
data class RecordOutbox(
    val unrecorded: PersistentMap<RequestNumber, UnrecordedStream> = persistentMapOf(),
    val open: RecordSave? = null,
    val lastNumber: Long = 0,
    val saved: PersistentMap<StreamRecordKey, SavedRecord> = persistentMapOf(),
    val lost: PersistentList<StreamRecord> = persistentListOf(),
    val askedAt: Timestamp? = null,
) {
    /** After the store was asked at [now] to keep the record of [save]. */
    fun withAsked(save: RecordSave, now: Timestamp): RecordOutbox =
        copy(
            open = save.copy(askedAt = now, retryAt = null),
            lastNumber = maxOf(lastNumber, save.record.key.number),
            unrecorded = unrecorded.without(save.requests),
            askedAt = now,
        )

    /** After the store turned out to keep [record], the open one. */
    fun withSaved(record: StreamRecord, now: Timestamp): RecordOutbox =
        copy(open = null, lost = lost.remove(record), saved = saved.put(record.key, SavedRecord(record, now)))

    /** Without the streams of [requests], and without the open record if [dropsOpen]. */
    fun without(requests: Set<RequestNumber>, dropsOpen: Boolean): RecordOutbox =
        copy(open = open.takeIf { !dropsOpen }, unrecorded = unrecorded.without(requests))

    private fun PersistentMap<RequestNumber, UnrecordedStream>.without(
        requests: Set<RequestNumber>,
    ): PersistentMap<RequestNumber, UnrecordedStream> = requests.fold(this) { kept, number -> kept.remove(number) }
}
