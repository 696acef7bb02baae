package org.ragwortbank.node.gateway

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.core.versions.StreamRecord
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.port.LeaseReply
import org.ragwortbank.node.port.StreamRecordReply
import org.ragwortbank.node.port.StreamStore
import org.ragwortbank.node.port.VersionsReply
import kotlin.time.Duration.Companion.seconds

/**
 * Writes to the platform's store at which software version streams begin; used on the event loop's thread only.
 *
 * Records of streams are written under leases that aren't renewed. While records are written, each [LEASE_USE] begins a
 * new one, so that a record stays for [LEASE_LIFETIME] less that at least.
 *
 * @property onVersionsWritten called when the store has new versions of a service that no read has shown yet
 */
internal class StreamStoreWriter(
    private val store: StreamStore,
    private val now: () -> Timestamp,
    private val onVersionsWritten: () -> Unit,
    private val post: (GatewayInput) -> Unit,
) {
    private var lease: HeldLease? = null
    private var isLeaseRequested = false
    private var awaitingLease: PersistentList<RecordWrite> = persistentListOf()
    private var isFailing = false
    private var eraCount = 0

    /** The store has come back from an older copy, which may have granted the lease to another process since. */
    fun onNewEra() {
        eraCount++
        lease = null
    }

    /** Performs an effect that writes; ignores effects of other kinds. */
    fun perform(effect: GatewayEffect) {
        when (effect) {
            is GatewayEffect.SaveVersions -> saveVersions(effect)
            is GatewayEffect.SaveStreamRecord ->
                save(RecordWrite(effect.record, effect.beside, mayRepeat = true))
            else -> Unit
        }
    }

    /** The watch of the store shows what it keeps; a failed write is repeated while it is still called for. */
    private fun saveVersions(effect: GatewayEffect.SaveVersions) =
        store.saveVersions(effect.service, effect.versions, effect.expectedRevision) { reply ->
            when (reply) {
                VersionsReply.Saved -> {
                    val versions = effect.versions
                    Logs.platform.info(
                        "software versions of {} stored: base '{}', admitted {}",
                        effect.service.value,
                        versions.base,
                        versions.admitted,
                    )
                    onVersionsWritten()
                }
                VersionsReply.Superseded -> {
                    Logs.platform.info("software versions of {} were stored by another first", effect.service.value)
                    onVersionsWritten()
                }
                is VersionsReply.Failed -> {
                    val service = effect.service.value
                    Logs.platform.warn("the software versions of {} were not stored: {}", service, reply.cause)
                }
            }
        }

    private fun save(write: RecordWrite) {
        val usable = lease?.takeIf { now() - it.requestedAt < LEASE_USE }
        if (usable != null) {
            send(write, usable)
        } else {
            awaitingLease = awaitingLease.add(write)
            requestLease()
        }
    }

    private fun requestLease() {
        if (isLeaseRequested) return
        isLeaseRequested = true
        val requestedAt = now()
        store.grantLease(LEASE_LIFETIME) { reply ->
            isLeaseRequested = false
            val writes = awaitingLease
            awaitingLease = persistentListOf()
            when (reply) {
                is LeaseReply.Granted -> {
                    val granted = HeldLease(reply.lease, requestedAt, eraCount)
                    lease = granted
                    writes.forEach { send(it, granted) }
                }
                is LeaseReply.Failed -> writes.forEach { fail(it, reply.cause) }
            }
        }
    }

    private fun send(write: RecordWrite, used: HeldLease) =
        store.saveStreamRecords(write.records, used.lease) { reply ->
            when (val outcome = if (used.eraCount == eraCount) reply else StreamRecordReply.LeaseEnded) {
                StreamRecordReply.Saved -> {
                    if (isFailing) Logs.platform.info("records of streams are stored again")
                    isFailing = false
                    post(GatewayInput.StreamRecordSaved(write.record.key))
                }
                StreamRecordReply.LeaseEnded -> {
                    if (lease == used) lease = null
                    if (write.mayRepeat) save(write.copy(mayRepeat = false)) else fail(write, "its lease has ended")
                }
                is StreamRecordReply.Failed -> fail(write, outcome.cause)
            }
        }

    private fun fail(write: RecordWrite, cause: String) {
        if (!isFailing) Logs.platform.warn("a record of {} streams may not be stored: {}", write.streamCount, cause)
        isFailing = true
        post(GatewayInput.StreamRecordFailed(write.record.key))
    }

    /**
     * A lease that was asked for at [requestedAt], so that it doesn't end before that and its lifetime.
     *
     * @property eraCount number of new eras of the store before it was granted
     */
    private data class HeldLease(val lease: Long, val requestedAt: Timestamp, val eraCount: Int)

    /**
     * A write of [record] and of those [beside] it.
     *
     * @property mayRepeat whether it is to be made once more under a new lease when its own has ended
     */
    private data class RecordWrite(
        val record: StreamRecord,
        val beside: List<StreamRecord>,
        val mayRepeat: Boolean,
    ) {
        val records: List<StreamRecord> get() = listOf(record) + beside
        val streamCount: Int get() = records.sumOf { it.streams.size }
    }

    private companion object {
        /** The longest life of a stream, and the use of the lease. */
        val LEASE_LIFETIME = 150.seconds
        val LEASE_USE = 30.seconds
    }
}
