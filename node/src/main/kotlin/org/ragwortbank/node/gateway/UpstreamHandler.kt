package org.ragwortbank.node.gateway

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import org.ragwortbank.core.gateway.AttemptFailure
import org.ragwortbank.core.gateway.AttemptFailure.ConnectionLost
import org.ragwortbank.core.gateway.AttemptFailure.InvalidAnswer
import java.io.IOException

/** Passes the input of a connection to an upstream to the exchange that currently uses it. */
internal class UpstreamHandler(
    /** What the connection has carried so far. */
    var history: ConnectionHistory,
) : SimpleChannelInboundHandler<HttpObject>() {
    /** The exchange that uses the connection; null while it is idle. */
    var exchange: UpstreamExchange? = null

    override fun channelRead0(ctx: ChannelHandlerContext, part: HttpObject) {
        val current = exchange
        when {
            current == null -> ctx.close()
            part.decoderResult().isFailure ->
                current.onFailure(InvalidAnswer("invalid answer: ${part.decoderResult().cause().message}"))
            else -> pass(ctx, current, part)
        }
    }

    private fun pass(ctx: ChannelHandlerContext, exchange: UpstreamExchange, part: HttpObject) {
        if (part is HttpResponse) exchange.onHead(part)
        if (part is HttpContent) exchange.onContent(part.content())
        if (part is LastHttpContent) exchange.onComplete(ctx.channel())
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        exchange?.onFailure(ConnectionLost("the connection was closed"))
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        exchange?.onFailure(failure(cause))
        ctx.close()
    }

    private fun failure(cause: Throwable): AttemptFailure {
        val detail = cause.message ?: cause.javaClass.simpleName
        return if (cause is IOException) ConnectionLost(detail) else InvalidAnswer(detail)
    }
}
