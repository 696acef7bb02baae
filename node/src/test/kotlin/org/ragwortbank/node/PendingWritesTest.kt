package org.ragwortbank.node

import io.netty.channel.embedded.EmbeddedChannel
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PendingWritesTest {
    private val writes = PendingWrites()

    @Test
    fun `given nothing pending, then there is nothing to wait for`() {
        assertTrue(writes.awaitAll(1.milliseconds))
    }

    @Test
    fun `given a write that is not complete, then a process that stops waits for it`() {
        val channel = EmbeddedChannel()
        val promise = channel.newPromise()
        writes.track(promise)
        assertFalse(writes.awaitAll(1.milliseconds))
        val waiting = PendingWrites().also { it.track(promise) }
        val writer = thread { promise.setSuccess() }
        assertTrue(waiting.awaitAll(10.seconds))
        writer.join()
    }

    @Test
    fun `given a write that failed, then it is not waited for`() {
        val channel = EmbeddedChannel()
        writes.track(channel.newFailedFuture(IllegalStateException("closed")))
        assertTrue(writes.awaitAll(10.seconds))
    }
}
