package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Closes a connection to an upstream on which bytes arrive while no request is under way, before they are decoded: the
 * decoder could keep some of them and take them for the beginning of the next answer.
 */
internal class ReceivedBytesHandler(private val upstreamHandler: UpstreamHandler) : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        val exchange = upstreamHandler.exchange
        if (exchange == null) {
            ReferenceCountUtil.release(message)
            ctx.close()
        } else {
            exchange.onBytesReceived((message as? ByteBuf)?.readableBytes() ?: 0)
            ctx.fireChannelRead(message)
        }
    }
}
