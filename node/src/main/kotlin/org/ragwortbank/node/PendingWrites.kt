package org.ragwortbank.node

import io.netty.channel.ChannelFuture
import java.util.concurrent.Phaser
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Duration

/**
 * Counts what was handed over for writing and has not reached the operating system yet.
 *
 * A process that stops must wait for these: its systems know that an answer was decided on, not that it was written.
 */
internal class PendingWrites {
    private val pending = Phaser(1)

    /** Something is to be written; [complete] must follow. */
    fun register() {
        pending.register()
    }

    /** It was written, or never will be. */
    fun complete() {
        pending.arriveAndDeregister()
    }

    /** Counts [write] until it is complete. */
    fun track(write: ChannelFuture) {
        register()
        write.addListener { complete() }
    }

    /** Waits until nothing is pending, for at most [timeout]; tells whether that came about. */
    fun awaitAll(timeout: Duration): Boolean =
        try {
            pending.awaitAdvanceInterruptibly(pending.arrive(), timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            true
        } catch (_: TimeoutException) {
            false
        }
}
