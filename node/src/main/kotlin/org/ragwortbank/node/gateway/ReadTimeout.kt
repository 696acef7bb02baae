package org.ragwortbank.node.gateway

import io.netty.channel.ChannelHandlerContext
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Bounds the time that a connection may take for the next part of what is expected. */
internal class ReadTimeout {
    private var scheduled: ScheduledFuture<*>? = null

    /** Runs [action] after [limit] unless started again or cancelled before. */
    fun start(ctx: ChannelHandlerContext, limit: Duration, action: () -> Unit) {
        cancel()
        scheduled = ctx.executor().schedule(action, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Stops waiting. */
    fun cancel() {
        scheduled?.cancel(false)
    }
}
