package org.ragwortbank.node

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** The one thread of a process that does all its work on an event loop, and the way to end it. */
internal class ProcessEventLoop {
    private val terminated = CountDownLatch(1)

    /** For servers and clients of the process. */
    val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** The thread's loop. */
    val loop: EventLoop = group.next()

    /** Runs [action] on the loop and waits until it is done. */
    fun run(action: () -> Unit) {
        loop.submit(action).get()
    }

    /** Waits until [terminateAfterFlush] is called and all tasks of the loop are done. */
    fun awaitTermination() {
        terminated.await()
        group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).await(SHUTDOWN_TIMEOUT_MILLIS)
    }

    /** Lets [awaitTermination] return once what was being written has had time to go out. */
    fun terminateAfterFlush() {
        loop.schedule({ terminated.countDown() }, FLUSH_DELAY_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val FLUSH_DELAY_MILLIS = 100L
        const val SHUTDOWN_TIMEOUT_MILLIS = 500L
    }
}
