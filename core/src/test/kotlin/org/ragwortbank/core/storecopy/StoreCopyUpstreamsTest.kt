package org.ragwortbank.core.storecopy

import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.core.serving.UpstreamId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Upstreams and gateways as an older copy of the store lists them. */
class StoreCopyUpstreamsTest {
    private val gateway = GatewayFixture()
    private val first = UpstreamId("desk-1")
    private val second = UpstreamId("desk-2")
    private val before = gateway.storeContents()

    init {
        readEra(1, before)
    }

    // Guards against requests that find no upstream, because a copy lacks those that registered lately.
    @Test
    fun `given upstreams that the copy lacks, then they are used for 2 s and those that register again longer`() {
        readEra(2, without(setOf(first, second)))
        gateway.advance(1_900.milliseconds)
        gateway.confirmConfiguration()
        assertEquals(setOf(first, second), targets())
        register(second)
        readAfter(200.milliseconds)
        assertEquals(setOf(second), targets())
        assertEquals(false, first in gateway.tables.upstreams)
    }

    @Test
    fun `given upstreams that a copy and its next whole read lack, then they are used for 2 s all the same`() {
        readEra(2, without(setOf(first)))
        gateway.advance(1.seconds)
        readEra(2, without(setOf(first)))
        assertEquals(setOf(first, second), targets())
        readAfter(1.seconds)
        assertEquals(setOf(second), targets())
    }

    @Test
    fun `given an upstream that a later read of the same era lacks, then it is removed at once`() {
        readEra(1, without(setOf(first)))
        assertEquals(setOf(second), targets())
    }

    // Guards against requests to an upstream that has left, because an older copy still lists it.
    @Test
    fun `given an upstream that left and that the copy lists, then it isn't used before it registers again`() {
        gateway.applyChanges(StoreChange.UpstreamRemoved(first))
        readEra(2, before)
        assertEquals(setOf(second), targets())
        register(first)
        assertEquals(setOf(first, second), targets())
    }

    @Test
    fun `given an upstream that left, when a copy lists it for 15 s, then it is used again`() {
        gateway.applyChanges(StoreChange.UpstreamRemoved(first))
        readEra(2, before)
        gateway.advance(14.seconds)
        gateway.confirmConfiguration()
        assertEquals(setOf(second), targets())
        gateway.advance(1.seconds)
        assertEquals(setOf(first, second), targets())
    }

    // Guards against requests later than the drain bound, because an older copy lists the upstream as ready.
    @Test
    fun `given an upstream that drains, when a copy lists it as ready, then only a later start of it is used`() {
        gateway.applyChanges(registered(first, accepting = false))
        readEra(2, before)
        register(first)
        assertEquals(setOf(second), targets())
        gateway.applyChanges(registered(first, startedMillis = 2))
        assertEquals(setOf(first, second), targets())
    }

    @Test
    fun `given an upstream that drained and left, when a copy lists it as ready, then only a later start is used`() {
        gateway.applyChanges(registered(first, accepting = false))
        gateway.applyChanges(StoreChange.UpstreamRemoved(first))
        readEra(2, before)
        gateway.advance(20.seconds)
        gateway.confirmConfiguration()
        register(first)
        assertEquals(setOf(second), targets())
        gateway.applyChanges(registered(first, startedMillis = 2))
        assertEquals(setOf(first, second), targets())
    }

    // Guards against an upstream that is taken for the one before its restart.
    @Test
    fun `given an upstream that has restarted, when a copy lists its earlier start, then that changes nothing`() {
        gateway.applyChanges(registered(first, startedMillis = 7))
        readEra(2, before)
        assertEquals(7, gateway.tables.upstreams.getValue(first).registration.startedMillis)
        readAfter(2.seconds)
        assertEquals(setOf(second), targets())
        gateway.applyChanges(registered(first, startedMillis = 7))
        assertEquals(setOf(first, second), targets())
    }

    // Guards against rates that each gateway takes for its own alone, because a copy lacks the others.
    @Test
    fun `given gateways that the copy lacks, then they count for 2 s and those that join again longer`() {
        val peers = (2..3).map { StoreChange.PeerRegistered("entry-$it", Endpoint("10.0.1.$it", 7600)) }
        gateway.applyChanges(*peers.toTypedArray())
        readEra(2, before)
        gateway.advance(1_900.milliseconds)
        assertEquals(3, gateway.tables.gatewayCount)
        gateway.applyChanges(peers.last())
        readAfter(200.milliseconds)
        assertEquals(2, gateway.tables.gatewayCount)
    }

    @Test
    fun `given copies twice within 2 s, then what the second one lacks gets 2 s from its read`() {
        readEra(2, without(setOf(first)))
        gateway.advance(1_500.milliseconds)
        readEra(3, without(setOf(first, second)))
        gateway.advance(1_500.milliseconds)
        gateway.confirmConfiguration()
        assertEquals(setOf(first, second), targets())
        readAfter(600.milliseconds)
        assertEquals(false, first in gateway.tables.upstreams || second in gateway.tables.upstreams)
    }

    /** Advances the time by [time] and reads that nothing has changed. */
    private fun readAfter(time: Duration) {
        gateway.advance(time)
        gateway.confirmConfiguration()
    }

    private fun readEra(era: Long, contents: List<StoreChange>) {
        val read = contents.fold(gateway.storeContents().clear()) { list, change -> list.add(change) }
        gateway.tick(GatewayInput.StoreRead(read, gateway.now, StorePosition(era, revision = 50)))
    }

    private fun without(ids: Set<UpstreamId>): List<StoreChange> =
        before.filterNot { it is StoreChange.UpstreamRegistered && it.registration.id in ids }

    private fun register(id: UpstreamId) = gateway.applyChanges(registered(id))

    private fun registered(id: UpstreamId, accepting: Boolean = true, startedMillis: Long = 1) =
        StoreChange.UpstreamRegistered(
            gateway.registration(id.value, GatewayFixture.DESK, accepting, startedMillis),
        )

    /** The upstreams to which requests go that are under way at the same time. */
    private fun targets(): Set<UpstreamId> {
        val numbers = (1..REQUESTS).map { gateway.receiveCall("/open/$it") }
        val upstreams = numbers.map { checkNotNull(gateway.tables.requests.getValue(it).upstream) }.toSet()
        numbers.forEach(::answer)
        return upstreams
    }

    private fun answer(number: RequestNumber) {
        val facts = AnswerFacts(status = 200, notRun = false, load = null)
        gateway.tick(GatewayInput.AnswerHeadReceived(number, 1, facts), GatewayInput.AnswerCompleted(number, 1))
    }

    private companion object {
        const val REQUESTS = 6
    }
}
