package org.ragwortbank.clients.http

import io.netty.channel.ChannelHandler.Sharable
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Closes a connection on which something arrives that belongs to no call.
 *
 * It is the last handler of a connection. Decoder and reader of an answer stand before it while a call is under way, so
 * that it receives the bytes that arrive between calls, and those that a decoder still held when its answer was over.
 */
@Sharable
internal object UnaskedBytesHandler : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        ReferenceCountUtil.release(message)
        ctx.close()
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }
}
