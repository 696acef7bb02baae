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
    fun `given no pending write, then awaitAll returns at once`() {
        assertTrue(writes.awaitAll(1.milliseconds))
    }

    @Test
    fun `given an incomplete write, then awaitAll waits until it completes`() {
        val channel = EmbeddedChannel()
        val promise = channel.newPromise()
        writes.track(promise)
        assertFalse(writes.awaitAll(1.milliseconds))
        val otherWrites = PendingWrites().also { it.track(promise) }
        val writer = thread { promise.setSuccess() }
        assertTrue(otherWrites.awaitAll(10.seconds))
        writer.join()
    }

    @Test
    fun `given a failed write, then awaitAll does not wait for it`() {
        val channel = EmbeddedChannel()
        writes.track(channel.newFailedFuture(IllegalStateException("closed")))
        assertTrue(writes.awaitAll(10.seconds))
    }
}
