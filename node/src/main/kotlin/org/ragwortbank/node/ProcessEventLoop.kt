package org.ragwortbank.node

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** The event loop of a process that does all its work on one thread, with its shutdown. */
internal class ProcessEventLoop {
    private val terminated = CountDownLatch(1)

    /** Group of the one loop, for the servers and clients of the process. */
    val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** The only loop of [group]. */
    val loop: EventLoop = group.next()

    /** Runs [action] on the loop and blocks until it has returned. */
    fun run(action: () -> Unit) {
        loop.submit(action).get()
    }

    /** Blocks until [terminateAfterFlush] has taken effect and the loop has shut down, or its shutdown timed out. */
    fun awaitTermination() {
        terminated.await()
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).await(SHUTDOWN_TIMEOUT_MILLIS)
    }

    /** Lets [awaitTermination] return after a delay in which queued writes can be flushed. */
    fun terminateAfterFlush() {
        loop.schedule({ terminated.countDown() }, FLUSH_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val FLUSH_DELAY_MILLIS = 100L
        const val SHUTDOWN_TIMEOUT_MILLIS = 500L
    }
}
