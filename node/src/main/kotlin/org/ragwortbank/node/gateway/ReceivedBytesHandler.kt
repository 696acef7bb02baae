package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil
import org.ragwortbank.core.log.cleanedText
import org.ragwortbank.core.serving.Endpoint
import java.net.InetSocketAddress

/**
 * Closes a connection to an upstream on which bytes arrive while no request is under way, before they are decoded: the
 * decoder could keep some of them and take them for the beginning of the next answer.
 */
internal class ReceivedBytesHandler(
    private val upstreamHandler: UpstreamHandler,
    private val observer: ConnectionObserver,
) : ChannelInboundHandlerAdapter() {
    private var isReported = false

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        val exchange = upstreamHandler.exchange
        if (exchange == null) {
            report(ctx.channel(), message)
            ReferenceCountUtil.release(message)
            ctx.close()
        } else {
            exchange.onBytesReceived((message as? ByteBuf)?.readableBytes() ?: 0)
            ctx.fireChannelRead(message)
        }
    }

    private fun report(channel: Channel, message: Any) {
        val bytes = message as? ByteBuf
        if (isReported || bytes == null) return
        isReported = true
        val upstream = (channel.remoteAddress() as? InetSocketAddress)?.let { Endpoint(it.hostString, it.port) }
        observer.onUnaskedBytes(
            UnaskedBytes(upstreamHandler.history, upstream, bytes.readableBytes(), firstLine(bytes)),
        )
    }

    private fun firstLine(bytes: ByteBuf): String {
        val length = bytes.readableBytes().coerceAtMost(MAX_LINE_BYTES)
        val text = bytes.toString(bytes.readerIndex(), length, Charsets.ISO_8859_1)
        val line = text.trimStart('\r', '\n').lineSequence().first()
        return cleanedText(line, MAX_LINE_BYTES)
    }

    private companion object {
        const val MAX_LINE_BYTES = 80
    }
}
