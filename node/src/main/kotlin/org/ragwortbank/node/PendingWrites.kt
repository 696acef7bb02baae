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
    private val open = Phaser(1)

    /** Something is to be written; [done] must follow. */
    fun begin() {
        open.register()
    }

    /** It was written, or never will be. */
    fun done() {
        open.arriveAndDeregister()
    }

    /** Counts [written] until it is complete. */
    fun track(written: ChannelFuture) {
        begin()
        written.addListener { done() }
    }

    /** Waits until nothing is pending, for at most [limit]; tells whether that came about. */
    fun await(limit: Duration): Boolean =
        try {
            open.awaitAdvanceInterruptibly(open.arrive(), limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            true
        } catch (_: TimeoutException) {
            false
        }
}
