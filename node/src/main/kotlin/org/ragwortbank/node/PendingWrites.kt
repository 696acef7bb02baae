package org.ragwortbank.node

import io.netty.channel.ChannelFuture
import java.util.concurrent.Phaser
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Duration

/**
 * Counts writes that were queued and have not reached the operating system yet.
 *
 * A stopping process must wait for them: its systems only know that an answer was decided, not that it was written.
 */
internal class PendingWrites {
    private val pending = Phaser(1)

    /** Counts a new write; [complete] must follow. */
    fun register() {
        pending.register()
    }

    /** Ends the count of one write, which was written or has failed. */
    fun complete() {
        pending.arriveAndDeregister()
    }

    /** Counts [write] until it completes or fails. */
    fun track(write: ChannelFuture) {
        register()
        write.addListener { complete() }
    }

    /** Blocks until no write is pending; returns false if [timeout] passes first. */
    fun awaitAll(timeout: Duration): Boolean =
        try {
            pending.awaitAdvanceInterruptibly(pending.arrive(), timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            true
        } catch (_: TimeoutException) {
            false
        }
}
