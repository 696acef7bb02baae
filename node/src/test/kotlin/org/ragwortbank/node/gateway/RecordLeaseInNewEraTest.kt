package org.ragwortbank.node.gateway

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.gateway.GatewayEffect
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

/** Leases that a store which came back older has granted to another one since. */
class RecordLeaseInNewEraTest {
    private val store = CopiedStore()
    private var now = Timestamp(0)
    private val writer = StreamStoreWriter(store, { now }, {}) { }

    // Guards against records that end with the membership of another gateway, so that a stream goes on at the base.
    @Test
    fun `given a store that comes back older, when a member leaves, then records that were written since stay`() {
        save(1)
        store.comeBackWithout()
        writer.onNewEra()
        var memberLease = 0L
        store.grantLease(6.seconds) { memberLease = (it as LeaseReply.Granted).lease }
        now += 1.seconds
        save(2)
        assertEquals(setOf(2L), store.records.keys)

        store.end(memberLease)

        assertEquals(setOf(2L), store.records.keys)
    }

    private fun save(number: Long) = writer.perform(
        GatewayEffect.SaveStreamRecord(
            StreamRecord(
                StreamRecordKey("gateway-1", 1, number),
                ServiceName("s"),
                SoftwareVersion("v2"),
                persistentSetOf(StreamId("a")),
            ),
        ),
    )

    /** A store that replies at once; its copy has no lease and no record, and gives out numbers again. */
    private class CopiedStore : StreamStore {
        private var lastLease = 0L
        private var leases: PersistentMap<Long, Duration> = persistentMapOf()
        var records: PersistentMap<Long, Long> = persistentMapOf()
            private set

        fun comeBackWithout() {
            lastLease = 0
            leases = persistentMapOf()
            records = persistentMapOf()
        }

        fun end(lease: Long) {
            leases = leases.remove(lease)
            records = records.filterValues { it != lease }.toPersistentMap()
        }

        override fun grantLease(lifetime: Duration, onReply: (LeaseReply) -> Unit) {
            lastLease++
            leases = leases.put(lastLease, lifetime)
            onReply(LeaseReply.Granted(lastLease))
        }

        override fun saveStreamRecords(records: List<StreamRecord>, lease: Long, onReply: (StreamRecordReply) -> Unit) {
            val isKnown = lease in leases
            if (isKnown) this.records = this.records.putAll(records.associate { it.key.number to lease })
            onReply(if (isKnown) StreamRecordReply.Saved else StreamRecordReply.LeaseEnded)
        }

        override fun saveVersions(
            service: ServiceName,
            versions: ServiceVersions,
            expectedRevision: Long,
            onReply: (VersionsReply) -> Unit,
        ) = onReply(VersionsReply.Failed("not part of this test"))
    }
}
