package org.ragwortbank.node.gateway

import io.netty.channel.embedded.EmbeddedChannel
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.tick.Timestamp
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/** Reads of the store that someone waits for, in virtual time. */
class ReadPacingTest {
    private val channel = EmbeddedChannel().apply { freezeTime() }
    private val store = ReadStore()
    private var nowMillis = 0L
    private var inputs = emptyList<GatewayInput>()
    private val watcher =
        StoreWatcher(channel.eventLoop(), store, { timeOf(nowMillis) }, { READ_DELAY }) { inputs = inputs + it }

    // Guards against a caller that waits out the pause between reads, or a read that waits for a change.
    @Test
    fun `given a pause between reads, when a refresh is asked for, then changes are read at once without waiting`() {
        startAndRead(revision = 7)
        watcher.refresh()
        assertEquals(listOf("all", NOW_AFTER_7), store.reads)
        store.replyChanges(1, revision = 9)
        pass(READ_DELAY_MILLIS)
        assertEquals(listOf("all", NOW_AFTER_7, "changes 9, wait 1s"), store.reads)
    }

    @Test
    fun `given a read that waits, when a refresh is asked for, then only the reply to the read in its place counts`() {
        startAndRead(revision = 7)
        pass(READ_DELAY_MILLIS)
        pass(100)
        watcher.refresh()
        assertEquals(listOf("all", "changes 7, wait 1s", NOW_AFTER_7), store.reads)
        store.replyChanges(1, revision = 8)
        assertEquals(1, inputs.size)
        store.replyChanges(2, revision = 9)
        store.fail(1)
        assertEquals(listOf(READ_DELAY_MILLIS + 100), changeTimes())
        pass(READ_DELAY_MILLIS)
        assertEquals("changes 9, wait 1s", store.reads.last())
    }

    @Test
    fun `given a read of everything, when a refresh is asked for, then changes are read right after it`() {
        watcher.start()
        watcher.refresh()
        assertEquals(listOf("all"), store.reads)
        pass(50)
        store.replyAll(0, revision = 7)
        pass(0)
        assertEquals(listOf("all", NOW_AFTER_7), store.reads)
        store.replyChanges(1, revision = 7)
        assertEquals(listOf(50L), changeTimes())
    }

    // Guards against replies that are dropped again and again where a read takes longer than the next caller.
    @Test
    fun `given a read that doesn't wait, when a refresh is asked for, then another read follows its reply`() {
        startAndRead(revision = 7)
        watcher.refresh()
        pass(60)
        watcher.refresh()
        assertEquals(2, store.reads.size)
        store.replyChanges(1, revision = 8)
        pass(0)
        assertEquals(listOf("all", NOW_AFTER_7, "changes 8, wait 0s"), store.reads)
        store.replyChanges(2, revision = 8)
        assertEquals(listOf(0L, 60L), changeTimes())
    }

    @Test
    fun `given many refreshes, then one is made each 40 ms, and the last one is made too`() {
        startAndRead(revision = 7)
        repeat(10) { index ->
            watcher.refresh()
            store.replyChanges(index + 1, revision = 7)
            pass(40)
        }
        val before = store.reads.size
        repeat(10) { watcher.refresh() }
        assertEquals(before + 1, store.reads.size)
        store.replyChanges(before, revision = 7)
        pass(39)
        assertEquals(before + 1, store.reads.size)
        pass(1)
        assertEquals(before + 2, store.reads.size)
        store.replyChanges(before + 1, revision = 7)
        pass(100)
        assertEquals(before + 2, store.reads.size)
    }

    @Test
    fun `given a store that does not answer, when a refresh is asked for, then the next attempt does not wait`() {
        startAndRead(revision = 7)
        watcher.refresh()
        store.fail(1)
        watcher.refresh()
        pass(300)
        assertEquals(2, store.reads.size)
        pass(50)
        assertEquals(listOf("all", NOW_AFTER_7, NOW_AFTER_7), store.reads)
    }

    @Test
    fun `given a watcher that has stopped, when a refresh is asked for, then nothing is read`() {
        startAndRead(revision = 7)
        watcher.stop()
        watcher.refresh()
        pass(100)
        assertEquals(listOf("all"), store.reads)
    }

    // Guards against two followers at a time, of which one reads from a revision of the era before.
    @Test
    fun `given a read that waits, when a new era and a refresh come together, then everything is read once`() {
        startAndRead(revision = 7)
        pass(READ_DELAY_MILLIS)
        watcher.onNewEra()
        watcher.refresh()
        store.replyChanges(1, revision = 8)
        pass(READ_DELAY_MILLIS)
        assertEquals(listOf("all", "changes 7, wait 1s", "all"), store.reads)
        assertReadsOnFrom(read = 2, revision = 3)
    }

    @Test
    fun `given a pause between reads, when a new era and a refresh come together, then everything is read once`() {
        startAndRead(revision = 7)
        watcher.onNewEra()
        watcher.refresh()
        pass(READ_DELAY_MILLIS)
        assertEquals(listOf("all", "all"), store.reads)
        assertReadsOnFrom(read = 1, revision = 3)
    }

    private fun assertReadsOnFrom(read: Int, revision: Long) {
        store.replyAll(read, revision)
        pass(0)
        assertEquals(listOf("changes $revision, wait 0s"), store.reads.drop(read + 1))
        assertEquals(emptyList(), changeTimes())
    }

    private fun startAndRead(revision: Long) {
        watcher.start()
        store.replyAll(0, revision)
    }

    private fun changeTimes(): List<Long> =
        inputs.filterIsInstance<GatewayInput.StoreChanged>().map { (it.requestedAt - timeOf(0)).inWholeMilliseconds }

    private fun pass(millis: Long) {
        nowMillis += millis
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS)
        channel.runPendingTasks()
    }

    private fun timeOf(millis: Long) = Timestamp(0) + millis.milliseconds

    private companion object {
        const val READ_DELAY_MILLIS = 750L
        val READ_DELAY = READ_DELAY_MILLIS.milliseconds
        const val NOW_AFTER_7 = "changes 7, wait 0s"
    }
}
