package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Reports the bytes that arrive on a connection to the exchange that uses it, before they are decoded. */
internal class ReceivedBytesHandler(private val upstreamHandler: UpstreamHandler) : ChannelInboundHandlerAdapter() {
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        upstreamHandler.exchange?.onBytesReceived((message as? ByteBuf)?.readableBytes() ?: 0)
        ctx.fireChannelRead(message)
    }
}
