package org.ragwortbank.node.http

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.node.metrics.BadInput
import org.ragwortbank.node.settings.HttpSettings
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Reads the requests of one connection, one after the other, each only after the answer to the one before. */
internal class CallHandler(
    private val settings: HttpSettings,
    private val dispatcher: CallDispatcher,
) : ChannelInboundHandlerAdapter() {
    private val assembler = RequestAssembler(settings.maxBodyBytes)
    private var timeout: ScheduledFuture<*>? = null
    private var answering: RequestId? = null
    private var refused = false
    private var early: PersistentList<HttpObject> = persistentListOf()

    override fun channelActive(ctx: ChannelHandlerContext) = expect(ctx, settings.idleTimeout) { ctx.close() }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        when {
            message !is HttpObject || refused -> ReferenceCountUtil.release(message)
            answering != null && early.size >= MAX_EARLY_PARTS -> dropConnection(ctx, message)
            answering != null -> early = early.add(message)
            else -> read(ctx, message)
        }
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        answering?.let(dispatcher::callerGone)
        timeout?.cancel(false)
        assembler.clear()
        early.forEach { ReferenceCountUtil.release(it) }
        early = persistentListOf()
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    private fun read(ctx: ChannelHandlerContext, message: HttpObject) {
        if (message is HttpRequest) expect(ctx, settings.receiveTimeout) { refuse(ctx, slowSender) }
        val waits = message is HttpRequest && HttpUtil.is100ContinueExpected(message)
        if (waits) ctx.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        when (val assembly = assembler.add(ctx, message)) {
            Assembly.Partial -> Unit
            is Assembly.Bad -> refuse(ctx, assembly.refusal)
            is Assembly.Whole -> complete(ctx, assembly)
        }
    }

    private fun complete(ctx: ChannelHandlerContext, whole: Assembly.Whole) {
        timeout?.cancel(false)
        val id = dispatcher.nextId()
        answering = id
        val keepAlive = HttpUtil.isKeepAlive(whole.request)
        val heads = ResponseHeads(id.toString(), keepAlive)
        val writer = HttpAnswerWriter(ctx.channel(), heads, keepAlive, settings, dispatcher.writes) { answered(ctx) }
        dispatcher.dispatch(whole, id, writer)
    }

    private fun answered(ctx: ChannelHandlerContext) {
        answering = null
        expect(ctx, settings.idleTimeout) { ctx.close() }
        val waiting = early
        early = persistentListOf()
        waiting.forEach { channelRead(ctx, it) }
    }

    private fun dropConnection(ctx: ChannelHandlerContext, message: Any) {
        ReferenceCountUtil.release(message)
        ctx.close()
    }

    private fun expect(ctx: ChannelHandlerContext, limit: Duration, action: () -> Unit) {
        timeout?.cancel(false)
        timeout = ctx.executor().schedule(action, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun refuse(ctx: ChannelHandlerContext, refusal: Refusal) {
        refused = true
        timeout?.cancel(false)
        assembler.clear()
        dispatcher.badInput(BadInput.HTTP, refusal)
        val heads = ResponseHeads("none", keepAlive = false)
        HttpAnswerWriter(ctx.channel(), heads, keepAlive = false, settings, dispatcher.writes) { }.refuse(refusal)
    }

    private companion object {
        const val MAX_EARLY_PARTS = 64
        val slowSender = Refusal.notRun(ResultCode.SLOW_SENDER)
    }
}
