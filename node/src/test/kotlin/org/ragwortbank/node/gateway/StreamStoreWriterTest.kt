package org.ragwortbank.node.gateway

import kotlinx.collections.immutable.persistentSetOf
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.serving.StreamId
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.core.versions.ServiceVersions
import org.ragwortbank.core.versions.StreamRecord
import org.ragwortbank.core.versions.StreamRecordKey
import org.ragwortbank.node.port.LeaseReply
import org.ragwortbank.node.port.StreamRecordReply
import org.ragwortbank.node.port.StreamStore
import org.ragwortbank.node.port.VersionsReply
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Writes at which version streams begin, to a store that replies when the test says so. */
class StreamStoreWriterTest {
    private val store = HeldStore()
    private var now = Timestamp(0)
    private var inputs = emptyList<GatewayInput>()
    private var refreshes = 0
    private val writer = StreamStoreWriter(store, { now }, { refreshes++ }) { inputs = inputs + it }

    @Test
    fun `given records in quick succession, then they share a lease and each is reported`() {
        save(1)
        save(2)
        assertEquals(listOf("lease 2m 30s"), store.calls)
        store.grant(0, lease = 5)
        assertEquals(listOf("lease 2m 30s", "record 1 under 5", "record 2 under 5"), store.calls)
        store.replyRecord(1, StreamRecordReply.Saved)
        store.replyRecord(0, StreamRecordReply.Saved)
        assertEquals(listOf<GatewayInput>(saved(2), saved(1)), inputs)
    }

    // Guards against a record that ends with its lease before the streams in it do.
    @Test
    fun `given a lease that has been used for 30 s, then the next record gets a new one`() {
        save(1)
        store.grant(0, lease = 5)
        now += 29.seconds
        save(2)
        now += 1.seconds
        save(3)
        store.grant(1, lease = 6)
        val expected =
            listOf("lease 2m 30s", "record 1 under 5", "record 2 under 5", "lease 2m 30s", "record 3 under 6")
        assertEquals(expected, store.calls)
    }

    @Test
    fun `given a lease that took long to be granted, then its age counts from the request`() {
        save(1)
        now += 31.seconds
        store.grant(0, lease = 5)
        save(2)
        assertEquals(listOf("lease 2m 30s", "record 1 under 5", "lease 2m 30s"), store.calls)
    }

    @Test
    fun `given a lease that has ended, then the record is written once more under a new one, and no third time`() {
        save(1)
        store.grant(0, lease = 5)
        store.replyRecord(0, StreamRecordReply.LeaseEnded)
        store.grant(1, lease = 6)
        assertEquals(listOf("lease 2m 30s", "record 1 under 5", "lease 2m 30s", "record 1 under 6"), store.calls)
        store.replyRecord(1, StreamRecordReply.LeaseEnded)
        assertEquals(listOf<GatewayInput>(GatewayInput.StreamRecordFailed(key(1))), inputs)
        assertEquals(4, store.calls.size)
    }

    // Guards against a record under a lease that an older copy of the store has granted to another process.
    @Test
    fun `given a store in a new era, then a record is written again and the next one too, under a new lease`() {
        save(1)
        store.grant(0, lease = 5)
        writer.onNewEra()
        store.replyRecord(0, StreamRecordReply.Saved)
        save(2)
        assertEquals(emptyList(), inputs)
        store.grant(1, lease = 6)
        val inNewEra = listOf("lease 2m 30s", "record 1 under 6", "record 2 under 6")
        assertEquals(inNewEra, store.calls.drop(2))
    }

    @Test
    fun `given no lease or no answer, then the record has failed, and the next one is tried afresh`() {
        save(1)
        store.refuseLease(0)
        save(2)
        store.grant(1, lease = 6)
        store.replyRecord(0, StreamRecordReply.Failed("no answer"))
        assertEquals<List<GatewayInput>>(listOf(1L, 2L).map { GatewayInput.StreamRecordFailed(key(it)) }, inputs)
        save(3)
        store.replyRecord(1, StreamRecordReply.Saved)
        assertEquals<GatewayInput>(saved(3), inputs.last())
    }

    @Test
    fun `given versions that were written, by this process or another, then the store is read at once`() {
        val versions = ServiceVersions(SoftwareVersion("v1"), persistentSetOf(SoftwareVersion("v2")))
        listOf(VersionsReply.Failed("down"), VersionsReply.Saved, VersionsReply.Superseded).forEach { reply ->
            writer.perform(GatewayEffect.SaveVersions(ServiceName("s"), versions, expectedRevision = 7))
            store.replyVersions(reply)
        }
        assertEquals(List(3) { "versions of s at 7" }, store.calls)
        assertEquals(2, refreshes)
    }

    private fun save(number: Long) {
        val record = StreamRecord(key(number), ServiceName("s"), SoftwareVersion("v2"), persistentSetOf(StreamId("a")))
        writer.perform(GatewayEffect.SaveStreamRecord(record))
    }

    private fun key(number: Long) = StreamRecordKey("gateway-1", 1, number)

    private fun saved(number: Long) = GatewayInput.StreamRecordSaved(key(number))

    private class HeldStore : StreamStore {
        private var leases = emptyList<(LeaseReply) -> Unit>()
        private var records = emptyList<(StreamRecordReply) -> Unit>()
        private var versions = emptyList<(VersionsReply) -> Unit>()
        var calls = emptyList<String>()
            private set

        fun grant(index: Int, lease: Long) = leases[index](LeaseReply.Granted(lease))

        fun refuseLease(index: Int) = leases[index](LeaseReply.Failed("no answer"))

        fun replyRecord(index: Int, reply: StreamRecordReply) = records[index](reply)

        fun replyVersions(reply: VersionsReply) = versions.last()(reply)

        override fun saveVersions(
            service: ServiceName,
            versions: ServiceVersions,
            expectedRevision: Long,
            onReply: (VersionsReply) -> Unit,
        ) {
            calls = calls + "versions of ${service.value} at $expectedRevision"
            this.versions = this.versions + onReply
        }

        override fun grantLease(lifetime: Duration, onReply: (LeaseReply) -> Unit) {
            calls = calls + "lease $lifetime"
            leases = leases + onReply
        }

        override fun saveStreamRecords(records: List<StreamRecord>, lease: Long, onReply: (StreamRecordReply) -> Unit) {
            calls = calls + "record ${records.joinToString(" and ") { "${it.key.number}" }} under $lease"
            this.records = this.records + onReply
        }
    }
}
