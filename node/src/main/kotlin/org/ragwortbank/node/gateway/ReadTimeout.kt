package org.ragwortbank.node.gateway

import io.netty.channel.ChannelHandlerContext
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Limits the time that a connection may take to deliver the next expected input. */
internal class ReadTimeout {
    private var pendingAction: ScheduledFuture<*>? = null

    /** Runs [action] after [timeout] unless it is restarted or cancelled before. */
    fun start(ctx: ChannelHandlerContext, timeout: Duration, action: () -> Unit) {
        cancel()
        pendingAction = ctx.executor().schedule(action, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Cancels the pending action. */
    fun cancel() {
        pendingAction?.cancel(false)
    }
}
