package org.ragwortbank.node.gateway

import io.netty.channel.DefaultEventLoop
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.node.port.BlockReply
import org.ragwortbank.node.port.MembershipReply
import org.ragwortbank.node.port.StoreClient
import org.ragwortbank.node.port.StoreReply
import org.ragwortbank.node.port.StreamStore
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration

class MembershipTest {
    private val loop = DefaultEventLoop()
    private val store = CountingStore()
    private val membership = Membership(loop, store, "gateway-1", Endpoint("127.0.0.1", 1))

    @AfterTest
    fun `shut the loop down`() {
        loop.shutdownGracefully()
    }

    @Test
    fun `given a process that has left, when its next renewal is due, then it does not join again`() {
        loop.submit { membership.start() }.get()
        loop.submit { membership.stop() }.get()
        Thread.sleep(LONGER_THAN_RENEW_INTERVAL_MILLIS)
        assertEquals(listOf(1, 0, 1), listOf(store.joinCalls, store.renewCalls, store.leaveCalls).map { it.get() })
    }

    private class CountingStore : StoreClient, StreamStore by IdleStreamStore {
        val joinCalls = AtomicInteger()
        val renewCalls = AtomicInteger()
        val leaveCalls = AtomicInteger()

        override fun readAll(onReply: (StoreReply) -> Unit) = Unit

        override fun readChanges(revision: Long, maxWait: Duration, onReply: (StoreReply) -> Unit) = Unit

        override fun join(name: String, endpoint: Endpoint, lifetime: Duration, onReply: (MembershipReply) -> Unit) {
            joinCalls.incrementAndGet()
            onReply(MembershipReply.Registered(lease = 1))
        }

        override fun saveBlock(trait: CrashTrait, onReply: (BlockReply) -> Unit) = Unit

        override fun dropBlock(trait: CrashTrait, onReply: (BlockReply) -> Unit) = Unit

        override fun renew(lease: Long, onReply: (MembershipReply) -> Unit) {
            renewCalls.incrementAndGet()
            onReply(MembershipReply.Expired)
        }

        override fun leave(lease: Long, onReply: (MembershipReply) -> Unit) {
            leaveCalls.incrementAndGet()
        }
    }

    private companion object {
        const val LONGER_THAN_RENEW_INTERVAL_MILLIS = 2_500L
    }
}
