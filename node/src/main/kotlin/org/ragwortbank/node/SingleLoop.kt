package org.ragwortbank.node

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** The one thread of a process that does all its work on an event loop, and the way to end it. */
internal class SingleLoop {
    private val ended = CountDownLatch(1)

    /** For servers and clients of the process. */
    val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    /** The thread's loop. */
    val loop: EventLoop = group.next()

    /** Runs [action] on the loop and waits until it is done. */
    fun run(action: () -> Unit) {
        loop.submit(action).get()
    }

    /** Waits until [end] is called and all tasks of the loop are done. */
    fun awaitEnd() {
        ended.await()
        group.shutdownGracefully(0, LONGEST_MILLIS, TimeUnit.MILLISECONDS).await(LONGEST_MILLIS)
    }

    /** Lets [awaitEnd] return once what was being written has had time to go out. */
    fun end() {
        loop.schedule({ ended.countDown() }, FLUSH_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val FLUSH_MILLIS = 100L
        const val LONGEST_MILLIS = 500L
    }
}
