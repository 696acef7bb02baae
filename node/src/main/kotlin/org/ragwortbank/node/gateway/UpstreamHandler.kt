package org.ragwortbank.node.gateway

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent

/** Passes what a connection to an upstream carries on to the exchange that uses it at present. */
internal class UpstreamHandler : SimpleChannelInboundHandler<HttpObject>() {
    /** The exchange that uses the connection; null while it is idle. */
    var exchange: UpstreamExchange? = null

    override fun channelRead0(ctx: ChannelHandlerContext, part: HttpObject) {
        val user = exchange
        when {
            user == null -> ctx.close()
            part.decoderResult().isFailure -> user.onBroken("no answer: ${part.decoderResult().cause().message}")
            else -> pass(ctx, user, part)
        }
    }

    private fun pass(ctx: ChannelHandlerContext, user: UpstreamExchange, part: HttpObject) {
        if (part is HttpResponse) user.onHead(part)
        if (part is HttpContent) user.onContent(part.content())
        if (part is LastHttpContent) user.onLast(ctx.channel())
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        exchange?.onBroken("the connection was closed")
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        exchange?.onBroken(cause.message ?: cause.javaClass.simpleName)
        ctx.close()
    }
}
