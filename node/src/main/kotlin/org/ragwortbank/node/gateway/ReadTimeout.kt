package org.ragwortbank.node.gateway

import io.netty.channel.ChannelHandlerContext
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Bounds the time that a connection may take for the next part of what is expected. */
internal class ReadTimeout {
    private var pendingAction: ScheduledFuture<*>? = null

    /** Runs [action] after [timeout] unless started again or cancelled before. */
    fun start(ctx: ChannelHandlerContext, timeout: Duration, action: () -> Unit) {
        cancel()
        pendingAction = ctx.executor().schedule(action, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Stops waiting. */
    fun cancel() {
        pendingAction?.cancel(false)
    }
}
