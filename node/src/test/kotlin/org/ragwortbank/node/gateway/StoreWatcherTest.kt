package org.ragwortbank.node.gateway

import io.netty.channel.DefaultEventLoop
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.crash.CrashTrait
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.core.tick.Timestamp
import org.ragwortbank.node.port.BlockReply
import org.ragwortbank.node.port.MembershipReply
import org.ragwortbank.node.port.StoreClient
import org.ragwortbank.node.port.StoreReply
import org.ragwortbank.node.port.StreamStore
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class StoreWatcherTest {
    private val loop = DefaultEventLoop()
    private val inputs = LinkedBlockingQueue<GatewayInput>()

    @AfterTest
    fun `shut the loop down`() {
        loop.shutdownGracefully()
    }

    // Guards against asking again and again for changes that no reply can hold, while a new configuration waits.
    @Test
    fun `given changes that are too large for one reply, then the whole store is read and followed from there`() {
        val store = FloodedStore()
        val watcher = StoreWatcher(loop, store, { Timestamp(0) }, { 10.milliseconds }, inputs::add)
        loop.submit { watcher.start() }.get()
        assertIs<GatewayInput.StoreRead>(nextInput())
        assertIs<GatewayInput.StoreRead>(nextInput())
        assertIs<GatewayInput.StoreChanged>(nextInput())
        watcher.stop()
        assertEquals(listOf("all 7", "changes 7", "all 9", "changes 9"), store.calls.take(4))
    }

    // Guards against a watch at a connection that has gone silent, which keeps a gateway from reading the older copy.
    @Test
    fun `given a watch without an answer, when a new era is told, then the whole store is read at once, and once`() {
        val store = SilentStore()
        val watcher = StoreWatcher(loop, store, { Timestamp(0) }, { 1.milliseconds }, inputs::add)
        loop.submit { watcher.start() }.get()
        store.answerRead(revision = 7)
        assertIs<GatewayInput.StoreRead>(nextInput())
        while (store.changeReplies.isEmpty()) Thread.sleep(1)
        repeat(2) { loop.submit { watcher.onNewEra() }.get() }
        store.answerRead(revision = 3)
        assertEquals(3, assertIs<GatewayInput.StoreRead>(nextInput()).position.revision)
        loop.submit { store.changeReplies.first()(StoreReply.Changes(persistentListOf(), StorePosition(1, 8))) }.get()
        while (store.changeReplies.size < 2) Thread.sleep(1)
        watcher.stop()
        assertTrue(inputs.isEmpty() && store.readReplies.isEmpty())
    }

    /** A store that answers reads of everything when told to, and reads of changes never. */
    private inner class SilentStore : StoreClient by FloodedStore() {
        val readReplies = ConcurrentLinkedQueue<(StoreReply) -> Unit>()
        val changeReplies = ConcurrentLinkedQueue<(StoreReply) -> Unit>()

        override fun readAll(onReply: (StoreReply) -> Unit) {
            readReplies.add(onReply)
        }

        override fun readChanges(after: StorePosition, maxWait: Duration, onReply: (StoreReply) -> Unit) {
            changeReplies.add(onReply)
        }

        fun answerRead(revision: Long) {
            val read = StoreReply.FullRead(persistentListOf(), StorePosition(1, revision))
            loop.submit { readReplies.remove()(read) }.get()
        }
    }

    private fun nextInput(): GatewayInput? = inputs.poll(INPUT_SECONDS, TimeUnit.SECONDS)

    /** A store whose history since revision 7 is larger than a reply may be; by then it is at revision 9. */
    private class FloodedStore : StoreClient, StreamStore by IdleStreamStore {
        @Volatile
        var calls = emptyList<String>()
            private set

        override fun observeNewEras(observer: () -> Unit) = Unit

        override fun readAll(onReply: (StoreReply) -> Unit) {
            val revision = if (calls.isEmpty()) FLOODED else LATEST
            calls = calls + "all $revision"
            onReply(StoreReply.FullRead(persistentListOf(), StorePosition(0, revision)))
        }

        override fun readChanges(after: StorePosition, maxWait: Duration, onReply: (StoreReply) -> Unit) {
            calls = calls + "changes ${after.revision}"
            val isFlooded = after.revision < LATEST
            onReply(if (isFlooded) StoreReply.TooLarge else StoreReply.Changes(persistentListOf(), after))
        }

        override fun join(name: String, endpoint: Endpoint, lifetime: Duration, onReply: (MembershipReply) -> Unit) =
            Unit

        override fun renew(lease: Long, onReply: (MembershipReply) -> Unit) = Unit

        override fun saveBlock(trait: CrashTrait, onReply: (BlockReply) -> Unit) = Unit

        override fun dropBlock(trait: CrashTrait, onReply: (BlockReply) -> Unit) = Unit

        override fun leave(lease: Long, onReply: (MembershipReply) -> Unit) = Unit
    }

    private companion object {
        const val INPUT_SECONDS = 5L
        const val FLOODED = 7L
        const val LATEST = 9L
    }
}
