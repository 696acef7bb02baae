package org.ragwortbank.node.http

import io.netty.channel.ChannelHandlerContext
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

/**
 * Handles the requests of one connection in order, each only after the response to the one before.
 *
 * Parts of pipelined requests are buffered, up to a limit beyond which the connection is closed.
 */
internal class CallHandler(
    private val settings: HttpSettings,
    private val dispatcher: CallDispatcher,
) : CallerConnectionHandler() {
    private val assembler = RequestAssembler(settings.maxBodyBytes)
    private var timeoutTask: ScheduledFuture<*>? = null
    private var requestInProgress: RequestId? = null
    private var isRefused = false
    private var pipelinedParts: PersistentList<HttpObject> = persistentListOf()

    override fun channelActive(ctx: ChannelHandlerContext) = scheduleTimeout(ctx, settings.idleTimeout) { ctx.close() }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        when {
            message !is HttpObject || isRefused -> ReferenceCountUtil.release(message)
            requestInProgress != null && pipelinedParts.size >= MAX_PIPELINED_PARTS -> dropConnection(ctx, message)
            requestInProgress != null -> pipelinedParts = pipelinedParts.add(message)
            else -> read(ctx, message)
        }
    }

    override fun onCallerLeft() {
        requestInProgress?.let(dispatcher::onCallerDisconnected)
    }

    override fun onClosed() {
        timeoutTask?.cancel(false)
        assembler.clear()
        pipelinedParts.forEach { ReferenceCountUtil.release(it) }
        pipelinedParts = persistentListOf()
    }

    private fun read(ctx: ChannelHandlerContext, message: HttpObject) {
        if (message is HttpRequest) scheduleTimeout(ctx, settings.receiveTimeout) { refuse(ctx, SLOW_SENDER) }
        val expectsContinue = message is HttpRequest && HttpUtil.is100ContinueExpected(message)
        if (expectsContinue) {
            ctx.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        when (val assembly = assembler.addPart(ctx, message)) {
            Assembly.Incomplete -> Unit
            is Assembly.Rejected -> refuse(ctx, assembly.refusal)
            is Assembly.Complete -> dispatch(ctx, assembly)
        }
    }

    private fun dispatch(ctx: ChannelHandlerContext, assembled: Assembly.Complete) {
        timeoutTask?.cancel(false)
        val id = dispatcher.nextRequestId()
        requestInProgress = id
        val responses = ResponseFactory(
            requestId = id.toString(),
            keepAlive = HttpUtil.isKeepAlive(assembled.request),
            knowsChunks = assembled.request.protocolVersion() >= HttpVersion.HTTP_1_1,
        )
        val writer = HttpResponseWriter(ctx.channel(), responses, settings, dispatcher.pendingWrites) {
            onResponseWritten(ctx)
        }
        dispatcher.dispatch(assembled, id, writer)
    }

    private fun onResponseWritten(ctx: ChannelHandlerContext) {
        requestInProgress = null
        scheduleTimeout(ctx, settings.idleTimeout) { ctx.close() }
        val nextParts = pipelinedParts
        pipelinedParts = persistentListOf()
        nextParts.forEach { channelRead(ctx, it) }
    }

    private fun dropConnection(ctx: ChannelHandlerContext, message: Any) {
        ReferenceCountUtil.release(message)
        ctx.close()
    }

    private fun scheduleTimeout(ctx: ChannelHandlerContext, timeout: Duration, onTimeout: () -> Unit) {
        timeoutTask?.cancel(false)
        timeoutTask = ctx.executor().schedule(onTimeout, timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun refuse(ctx: ChannelHandlerContext, refusal: Refusal) {
        isRefused = true
        timeoutTask?.cancel(false)
        assembler.clear()
        dispatcher.onBadInput(BadInput.HTTP, refusal)
        val responses = ResponseFactory("none", keepAlive = false)
        HttpResponseWriter(ctx.channel(), responses, settings, dispatcher.pendingWrites) { }
            .writeRefusal(refusal)
    }

    private companion object {
        const val MAX_PIPELINED_PARTS = 64
        val SLOW_SENDER = Refusal.notRun(ResultCode.SLOW_SENDER)
    }
}
