package org.ragwortbank.node.gateway

import io.netty.channel.DefaultEventLoop
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.node.port.BlockReply
import org.ragwortbank.node.port.MembershipReply
import org.ragwortbank.node.port.StoreClient
import org.ragwortbank.node.port.StoreReply
import org.ragwortbank.node.port.StreamStore
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration

class MembershipTest {
    private val loop = DefaultEventLoop()
    private val store = RecordingStore()
    private val membership = Membership(loop, store, NAME, Endpoint("127.0.0.1", 1))

    @AfterTest
    fun `shut the loop down`() {
        loop.shutdownGracefully()
    }

    @Test
    fun `given a process that has left, when its next renewal is due, then it does not join again`() {
        onLoop { membership.start() }
        onLoop { membership.stop() }
        Thread.sleep(LONGER_THAN_RENEW_INTERVAL_MILLIS)
        assertEquals(listOf("join", "leave 1"), store.calls.toList())
    }

    // Guards against a member that the older copy lacks, or whose lease it has granted to another one.
    @Test
    fun `given a member, when the store is in a new era, then it joins again under a lease of that era`() {
        onLoop { membership.start() }
        onLoop { membership.onNewEra() }
        while (store.calls.size < 2) Thread.sleep(1)
        onLoop { membership.stop() }
        assertEquals(listOf("join", "join", "leave 2"), store.calls.toList())
    }

    // Guards against the revocation of a lease that the store has granted to another member since.
    @Test
    fun `given a new era, when the process leaves before it has joined again, then no earlier lease is revoked`() {
        onLoop { membership.start() }
        onLoop {
            membership.onNewEra()
            membership.stop()
        }
        Thread.sleep(LONGER_THAN_REJOIN_SPREAD_MILLIS)
        assertEquals(listOf("join"), store.calls.toList())
    }

    @Test
    fun `given a join under way, when the store is in a new era, then its lease doesn't count`() {
        store.holdsReplies = true
        onLoop { membership.start() }
        store.holdsReplies = false
        onLoop { membership.onNewEra() }
        onLoop { store.heldReplies.remove()(MembershipReply.Registered(lease = 9)) }
        while (store.calls.size < 2) Thread.sleep(1)
        onLoop { membership.stop() }
        assertEquals(listOf("join", "join", "leave 1"), store.calls.toList())
    }

    @Test
    fun `given many members, then they join again at different times within half a second`() {
        val delays = (1..350).map { Membership.rejoinDelay("gateway-$it").inWholeMilliseconds }
        assertTrue(delays.all { it in 0 until 500 })
        assertTrue(delays.groupBy { it / 50 }.values.all { it.size in 10..70 }, "delays: $delays")
    }

    private fun onLoop(action: () -> Unit) {
        loop.submit(action).get()
    }

    /** A store that grants leases from 1 on, and says that each has expired when it is renewed. */
    private class RecordingStore : StoreClient, StreamStore by IdleStreamStore {
        val calls = ConcurrentLinkedQueue<String>()
        val heldReplies = ConcurrentLinkedQueue<(MembershipReply) -> Unit>()

        @Volatile
        var holdsReplies = false
        private var lastLease = 0L

        override fun observeNewEras(observer: () -> Unit) = Unit

        override fun readAll(onReply: (StoreReply) -> Unit) = Unit

        override fun readChanges(after: StorePosition, maxWait: Duration, onReply: (StoreReply) -> Unit) = Unit

        override fun join(name: String, endpoint: Endpoint, lifetime: Duration, onReply: (MembershipReply) -> Unit) {
            calls.add("join")
            if (holdsReplies) heldReplies.add(onReply) else onReply(MembershipReply.Registered(++lastLease))
        }

        override fun saveBlock(trait: CrashTrait, onReply: (BlockReply) -> Unit) = Unit

        override fun dropBlock(trait: CrashTrait, onReply: (BlockReply) -> Unit) = Unit

        override fun renew(lease: Long, onReply: (MembershipReply) -> Unit) {
            calls.add("renew $lease")
            onReply(MembershipReply.Expired)
        }

        override fun leave(lease: Long, onReply: (MembershipReply) -> Unit) {
            calls.add("leave $lease")
        }
    }

    private companion object {
        const val NAME = "gateway-1"
        const val LONGER_THAN_RENEW_INTERVAL_MILLIS = 2_500L
        const val LONGER_THAN_REJOIN_SPREAD_MILLIS = 700L
    }
}
