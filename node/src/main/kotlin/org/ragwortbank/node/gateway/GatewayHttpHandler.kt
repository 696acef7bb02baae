package org.ragwortbank.node.gateway

import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.ClientLimits
import org.ragwortbank.node.http.Assembly
import org.ragwortbank.node.http.CallerConnectionHandler
import org.ragwortbank.node.http.RequestAssembler
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Reads the requests of one caller's connection and answers them one at a time, in the order of their arrival. */
internal class GatewayHttpHandler(
    private val limits: ClientLimits,
    private val listener: CallerListener,
) : CallerConnectionHandler() {
    private val assembler = RequestAssembler(limits.maxBodyBytes)
    private val reservation = BodyReservation(limits.maxBodyBytes) { listener.bodies }
    private val pipelinedParts = PipelinedParts { listener.bodies }
    private val readTimeout = ReadTimeout()
    private var currentAnswer: HttpAnswerSink? = null
    private var isClosing = false

    override fun channelActive(ctx: ChannelHandlerContext) = readTimeout.start(ctx, limits.idleTimeout) { ctx.close() }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        when {
            message !is HttpObject || isClosing -> ReferenceCountUtil.release(message)
            currentAnswer == null -> read(ctx, message)
            !pipelinedParts.add(message) -> if (listener.bodies == null) ctx.close() else isClosing = true
        }
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        currentAnswer?.onWritabilityChanged()
    }

    override fun onCallerLeft() {
        currentAnswer?.let(listener::onCallerDisconnected)
    }

    override fun onClosed() {
        readTimeout.cancel()
        assembler.clear()
        reservation.release()
        pipelinedParts.release()
        currentAnswer?.onWritabilityChanged()
        currentAnswer = null
    }

    /** Closes the connection unless a request is in progress. */
    fun closeIfIdle(ctx: ChannelHandlerContext) {
        if (currentAnswer == null) ctx.close()
    }

    private fun read(ctx: ChannelHandlerContext, message: HttpObject) {
        if (!reservation.add(message)) {
            ReferenceCountUtil.release(message)
            refuse(ctx, fullRefusal)
            return
        }
        if (message is HttpRequest) {
            readTimeout.start(ctx, limits.idleTimeout) { refuse(ctx, slowSenderRefusal) }
            if (HttpUtil.is100ContinueExpected(message)) ctx.writeAndFlush(continueResponse())
        }
        when (val assembly = assembler.addPart(ctx, message)) {
            Assembly.Incomplete -> Unit
            is Assembly.Rejected -> refuse(ctx, assembly.refusal)
            is Assembly.Complete ->
                passOn(ctx, CallerRequest(assembly.request, assembly.body, reservation.handOver()))
        }
    }

    /** Where what is held is bounded, the next request begins when the caller has taken this answer. */
    private fun passOn(ctx: ChannelHandlerContext, request: CallerRequest) {
        readTimeout.cancel()
        val isBounded = listener.bodies != null
        lateinit var answer: HttpAnswerSink
        val onHeld = { held: HeldAnswer, bytes: Int -> listener.onHeld(answer, held, bytes) }
        answer = HttpAnswerSink(
            ctx = ctx,
            keepAlive = HttpUtil.isKeepAlive(request.head),
            isStopping = { listener.isStopping || isClosing },
            knowsChunks = request.knowsChunks,
            outbound = CallerOutbound(ctx, onHeld.takeIf { isBounded }),
            onLastWrite = { staysOpen, lastWrite ->
                val end = { onAnswerWritten(ctx, staysOpen, lastWrite) }
                if (isBounded) lastWrite.addListener { if (it.isSuccess) end() } else end()
            },
        )
        currentAnswer = answer
        listener.onRequest(request, answer)
    }

    /**
     * Goes on to the next request, or closes the connection: later if what the caller sends is dropped already, since a
     * close would reset the connection then, and the caller might not see its answer.
     */
    private fun onAnswerWritten(ctx: ChannelHandlerContext, staysOpen: Boolean, lastWrite: ChannelFuture) {
        currentAnswer = null
        when {
            isClosing -> readTimeout.start(ctx, DROPPED_PARTS_TIME) { ctx.close() }
            staysOpen -> {
                readTimeout.start(ctx, limits.idleTimeout) { ctx.close() }
                pipelinedParts.take().forEach { channelRead(ctx, it) }
            }
            else -> {
                isClosing = true
                lastWrite.addListener(ChannelFutureListener.CLOSE)
            }
        }
    }

    /** Refuses the request and closes the connection; what the caller still sends of a body without room is dropped. */
    private fun refuse(ctx: ChannelHandlerContext, refusal: Refusal) {
        readTimeout.cancel()
        assembler.clear()
        reservation.release()
        listener.onUnreadableRequest(refusal)
        HttpAnswerSink(ctx, keepAlive = false, { true }) { _, lastWrite ->
            isClosing = refusal == fullRefusal
            onAnswerWritten(ctx, false, lastWrite)
        }.writeRefusal(refusal)
    }

    private companion object {
        val slowSenderRefusal = Refusal.notRun(ResultCode.SLOW_SENDER)
        val fullRefusal = Refusal.notRun(
            ResultCode.OVERLOADED,
            "the bodies of other requests take the room for this one",
            FULL_RETRY_AFTER,
        )

        fun continueResponse() = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE)
    }
}

/** Time for which what has no room, as the rest of a body that was refused, is read and dropped before the close. */
private val DROPPED_PARTS_TIME = 500.milliseconds
private val FULL_RETRY_AFTER = 1.seconds
