package org.ragwortbank.node.gateway

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.ClientLimits
import org.ragwortbank.node.http.Assembly
import org.ragwortbank.node.http.RequestAssembler

/** Reads the requests of one caller's connection, one after the other, and writes their answers. */
internal class FrontHandler(
    private val limits: ClientLimits,
    private val calls: FrontCalls,
) : ChannelInboundHandlerAdapter() {
    private val assembler = RequestAssembler(limits.maxBodyBytes)
    private val timeout = ReadTimeout()
    private var answer: FrontAnswer? = null
    private var refused = false
    private var early: PersistentList<HttpObject> = persistentListOf()

    override fun channelActive(ctx: ChannelHandlerContext) = timeout.start(ctx, limits.idleTimeout) { ctx.close() }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        when {
            message !is HttpObject || refused -> ReferenceCountUtil.release(message)
            answer == null -> read(ctx, message)
            early.size >= MAX_EARLY_PARTS -> ctx.close().also { ReferenceCountUtil.release(message) }
            else -> early = early.add(message)
        }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        answer?.writabilityChanged()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        timeout.cancel()
        assembler.clear()
        early.forEach { ReferenceCountUtil.release(it) }
        early = persistentListOf()
        answer?.let(calls::gone)
        answer = null
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    /** Closes the connection unless an answer is under way. */
    fun closeIfIdle(ctx: ChannelHandlerContext) {
        if (answer == null) ctx.close()
    }

    private fun read(ctx: ChannelHandlerContext, message: HttpObject) {
        if (message is HttpRequest) {
            timeout.start(ctx, limits.idleTimeout) { refuse(ctx, slowSender) }
            if (HttpUtil.is100ContinueExpected(message)) ctx.writeAndFlush(goOn())
        }
        when (val assembly = assembler.addPart(ctx, message)) {
            Assembly.Incomplete -> Unit
            is Assembly.Rejected -> refuse(ctx, assembly.refusal)
            is Assembly.Complete -> complete(ctx, FrontRequest(assembly.request, assembly.body))
        }
    }

    private fun complete(ctx: ChannelHandlerContext, request: FrontRequest) {
        timeout.cancel()
        val keepAlive = HttpUtil.isKeepAlive(request.head)
        val started = FrontAnswer(ctx, keepAlive, { calls.stopping }) { stays, written ->
            answered(ctx, stays, written)
        }
        answer = started
        calls.arrived(request, started)
    }

    private fun answered(ctx: ChannelHandlerContext, keepAlive: Boolean, written: ChannelFuture) {
        answer = null
        if (!keepAlive) {
            refused = true
            written.addListener(ChannelFutureListener.CLOSE)
            return
        }
        timeout.start(ctx, limits.idleTimeout) { ctx.close() }
        val waiting = early
        early = persistentListOf()
        waiting.forEach { channelRead(ctx, it) }
    }

    private fun refuse(ctx: ChannelHandlerContext, refusal: Refusal) {
        timeout.cancel()
        assembler.clear()
        calls.unreadable(refusal)
        FrontAnswer(ctx, keepAlive = false, { true }) { _, written -> answered(ctx, false, written) }.refuse(refusal)
    }

    private companion object {
        const val MAX_EARLY_PARTS = 64
        val slowSender = Refusal.notRun(ResultCode.SLOW_SENDER)

        fun goOn() = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
    }
}
