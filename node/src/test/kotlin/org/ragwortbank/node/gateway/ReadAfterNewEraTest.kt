package org.ragwortbank.node.gateway

import io.netty.channel.embedded.EmbeddedChannel
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.tick.Timestamp
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/** A read that is asked for while the reply to a replaced watch is still to come. */
class ReadAfterNewEraTest {
    private val channel = EmbeddedChannel().apply { freezeTime() }
    private val store = ReadStore()
    private var nowMillis = 0L
    private var inputs = emptyList<GatewayInput>()
    private val watcher =
        StoreWatcher(channel.eventLoop(), store, { timeOf(nowMillis) }, { READ_DELAY }) { inputs = inputs + it }

    // Guards against take-ups that wait out a pause between reads, right after the store has come back older.
    @Test
    fun `given a pause after a new era, when the watch of before is answered, then a refresh still cuts it short`() {
        startAndRead(revision = 7)
        pass(READ_DELAY_MILLIS)
        watcher.onNewEra()
        store.replyAll(2, revision = 3)
        store.replyChanges(1, revision = 7)

        watcher.refresh()
        pass(0)

        assertEquals(listOf("all", "changes 7, wait 1s", "all", "changes 3, wait 0s"), store.reads)
    }

    private fun startAndRead(revision: Long) {
        watcher.start()
        store.replyAll(0, revision)
    }

    private fun pass(millis: Long) {
        nowMillis += millis
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS)
        channel.runPendingTasks()
    }

    private fun timeOf(millis: Long) = Timestamp(0) + millis.milliseconds

    private companion object {
        const val READ_DELAY_MILLIS = 750L
        val READ_DELAY = READ_DELAY_MILLIS.milliseconds
    }
}
