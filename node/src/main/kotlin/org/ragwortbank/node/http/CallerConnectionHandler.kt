package org.ragwortbank.node.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent

/**
 * Handles the requests of one caller's connection, and notices that the caller has left.
 *
 * On a connection that is [read to its end][readToEndOfInput], [onCallerLeft] comes before anything is decided on what
 * was read with the end.
 */
internal abstract class CallerConnectionHandler : ChannelInboundHandlerAdapter() {
    private var hasCallerLeft = false

    /** The caller has left, or its connection has failed; called once, before [onClosed]. */
    protected abstract fun onCallerLeft()

    /** The connection is closed. */
    protected abstract fun onClosed()

    override fun userEventTriggered(ctx: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) end(ctx)
        ctx.fireUserEventTriggered(event)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        reportOnce()
        onClosed()
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) = end(ctx)

    private fun end(ctx: ChannelHandlerContext) {
        reportOnce()
        ctx.close()
    }

    private fun reportOnce() {
        if (!hasCallerLeft) onCallerLeft()
        hasCallerLeft = true
    }
}
