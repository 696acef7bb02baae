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

/** Reads the requests of one caller's connection and answers them one at a time, in the order of their arrival. */
internal class GatewayHttpHandler(
    private val limits: ClientLimits,
    private val listener: CallerListener,
) : ChannelInboundHandlerAdapter() {
    private val assembler = RequestAssembler(limits.maxBodyBytes)
    private val readTimeout = ReadTimeout()
    private var currentAnswer: HttpAnswerSink? = null
    private var isClosing = false
    private var pipelinedParts: PersistentList<HttpObject> = persistentListOf()

    override fun channelActive(ctx: ChannelHandlerContext) = readTimeout.start(ctx, limits.idleTimeout) { ctx.close() }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        when {
            message !is HttpObject || isClosing -> ReferenceCountUtil.release(message)
            currentAnswer == null -> read(ctx, message)
            pipelinedParts.size >= MAX_PIPELINED_PARTS -> ctx.close().also { ReferenceCountUtil.release(message) }
            else -> pipelinedParts = pipelinedParts.add(message)
        }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        currentAnswer?.onWritabilityChanged()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        readTimeout.cancel()
        assembler.clear()
        pipelinedParts.forEach { ReferenceCountUtil.release(it) }
        pipelinedParts = persistentListOf()
        currentAnswer?.let(listener::onCallerDisconnected)
        currentAnswer = null
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        ctx.close()
    }

    /** Closes the connection unless a request is in progress. */
    fun closeIfIdle(ctx: ChannelHandlerContext) {
        if (currentAnswer == null) ctx.close()
    }

    private fun read(ctx: ChannelHandlerContext, message: HttpObject) {
        if (message is HttpRequest) {
            readTimeout.start(ctx, limits.idleTimeout) { refuse(ctx, slowSenderRefusal) }
            if (HttpUtil.is100ContinueExpected(message)) ctx.writeAndFlush(continueResponse())
        }
        when (val assembly = assembler.addPart(ctx, message)) {
            Assembly.Incomplete -> Unit
            is Assembly.Rejected -> refuse(ctx, assembly.refusal)
            is Assembly.Complete -> passOn(ctx, CallerRequest(assembly.request, assembly.body))
        }
    }

    private fun passOn(ctx: ChannelHandlerContext, request: CallerRequest) {
        readTimeout.cancel()
        val answer = HttpAnswerSink(
            ctx = ctx,
            keepAlive = HttpUtil.isKeepAlive(request.head),
            isStopping = { listener.isStopping },
            knowsChunks = request.knowsChunks,
            onLastWrite = { staysOpen, lastWrite -> onAnswerWritten(ctx, staysOpen, lastWrite) },
        )
        currentAnswer = answer
        listener.onRequest(request, answer)
    }

    private fun onAnswerWritten(ctx: ChannelHandlerContext, staysOpen: Boolean, lastWrite: ChannelFuture) {
        currentAnswer = null
        if (!staysOpen) {
            isClosing = true
            lastWrite.addListener(ChannelFutureListener.CLOSE)
            return
        }
        readTimeout.start(ctx, limits.idleTimeout) { ctx.close() }
        val pending = pipelinedParts
        pipelinedParts = persistentListOf()
        pending.forEach { channelRead(ctx, it) }
    }

    private fun refuse(ctx: ChannelHandlerContext, refusal: Refusal) {
        readTimeout.cancel()
        assembler.clear()
        listener.onUnreadableRequest(refusal)
        HttpAnswerSink(ctx, keepAlive = false, { true }) { _, lastWrite -> onAnswerWritten(ctx, false, lastWrite) }
            .writeRefusal(refusal)
    }

    private companion object {
        const val MAX_PIPELINED_PARTS = 64
        val slowSenderRefusal = Refusal.notRun(ResultCode.SLOW_SENDER)

        fun continueResponse() = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
    }
}
