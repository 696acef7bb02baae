package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import org.ragwortbank.clients.http.ExchangeCodec
import org.ragwortbank.clients.http.isBrokenOff
import org.ragwortbank.core.gateway.AttemptFailure
import org.ragwortbank.core.gateway.AttemptFailure.ConnectionLost
import org.ragwortbank.core.gateway.AttemptFailure.InvalidAnswer
import java.io.IOException

/**
 * Passes the input of a connection to an upstream to the exchange that currently uses it.
 *
 * Each exchange has a decoder of its own, which is removed with the end of the answer: what it still holds then, and
 * all that arrives between exchanges, belongs to no request and closes the connection.
 */
internal class UpstreamHandler(
    history: ConnectionHistory,
    private val observer: ConnectionObserver,
) : SimpleChannelInboundHandler<Any>() {
    private var unaskedText = ""
    private var onRead: ((String) -> Unit)? = null
    private var codec: ExchangeCodec? = null

    /** What the connection has carried so far. */
    var history: ConnectionHistory = history
        private set

    /** The exchange that uses the connection; null while it is idle. */
    var exchange: UpstreamExchange? = null
        private set

    /** Lets [started], which sends a request with [method], use [channel], the connection of this handler. */
    fun begin(channel: Channel, started: UpstreamExchange, method: HttpMethod) {
        exchange = started
        codec = ExchangeCodec(method).also { it.addBefore(this, channel.pipeline()) }
    }

    /**
     * Ends the exchange on [channel]; calls [onRead] when all that has arrived is read, with the beginning of what
     * follows the answer. If that isn't empty, the connection is being closed.
     */
    fun end(channel: Channel, completed: CompletedExchange, onRead: (String) -> Unit) {
        exchange = null
        history = history.after(completed)
        this.onRead = onRead
        codec?.removeFrom(channel.pipeline())
        codec = null
    }

    override fun channelRead0(ctx: ChannelHandlerContext, part: Any) {
        val current = exchange
        when {
            current == null -> rejectUnasked(ctx, part)
            part is HttpObject && part.decoderResult().isFailure -> current.onFailure(failure(part))
            part is HttpObject -> pass(ctx, current, part)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        concludeRead()
        ctx.fireChannelReadComplete()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        concludeRead()
        exchange?.onFailure(ConnectionLost("the connection was closed"))
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        exchange?.onFailure(failure(cause))
        ctx.close()
    }

    private fun concludeRead() {
        val action = onRead
        onRead = null
        action?.invoke(unaskedText)
    }

    private fun pass(ctx: ChannelHandlerContext, exchange: UpstreamExchange, part: HttpObject) {
        if (part is HttpResponse) exchange.onHead(part)
        if (part is HttpContent) exchange.onContent(part.content())
        if (part is LastHttpContent) exchange.onComplete(ctx.channel())
    }

    private fun rejectUnasked(ctx: ChannelHandlerContext, part: Any) {
        val isFirst = unaskedText.isEmpty()
        unaskedText = (unaskedText + textOf(part)).take(MAX_UNASKED_LENGTH)
        ctx.close()
        if (isFirst && part is ByteBuf) observer.onUnaskedBytes(unaskedBytes(history, ctx.channel(), part))
    }

    private companion object {
        /** Room for the fields of a head that say whose it is. */
        const val MAX_UNASKED_LENGTH = 1_024
    }
}

/** The handler that [UpstreamConnections] adds to each connection. */
internal val Channel.upstreamHandler: UpstreamHandler get() = pipeline().get(UpstreamHandler::class.java)

private fun textOf(part: Any): String =
    if (part is ByteBuf) part.toString(Charsets.ISO_8859_1) else part.toString()

private fun failure(part: HttpObject): AttemptFailure = when {
    part.isBrokenOff -> ConnectionLost("the connection was closed inside the head of an answer")
    else -> InvalidAnswer("invalid answer: ${part.decoderResult().cause().message}")
}

private fun failure(cause: Throwable): AttemptFailure {
    val detail = cause.message ?: cause.javaClass.simpleName
    return if (cause is IOException) ConnectionLost(detail) else InvalidAnswer(detail)
}
