package org.ragwortbank.clients.http

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.AttributeKey
import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.model.Header

/** Set on connections that have carried a request. */
internal val HAS_CARRIED_REQUEST: AttributeKey<Boolean> = AttributeKey.valueOf("ragwortbank.used")

/**
 * Passes the parts of one response, without interim ones before it, to [listener] and calls [release] to return the
 * connection to its pool.
 *
 * [codec] is removed with the end of the response, so that what it still holds passes as bytes that belong to no call.
 * The connection goes back when all that had arrived with that end is read.
 */
internal class ResponseHandler(
    private val listener: HttpListener,
    private val codec: ExchangeCodec,
    private val evidence: AnswerEvidence,
    private val release: () -> Unit,
) : SimpleChannelInboundHandler<HttpObject>() {
    private var state = ResponseState.EXPECTED
    private var isKeptAlive = true
    private var isInterim = false
    private val body = ResponseBody(listener)

    /** What follows the response, with which it arrived, comes as bytes. */
    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        if (message is ByteBuf && state == ResponseState.READ) body.onRest(message)
        super.channelRead(ctx, message)
    }

    override fun channelRead0(ctx: ChannelHandlerContext, part: HttpObject) {
        val result = part.decoderResult()
        when {
            state != ResponseState.EXPECTED -> Unit
            part.isBrokenOff -> failOnce(ctx.channel(), BROKEN_OFF)
            result.isFailure -> failOnce(ctx.channel(), "malformed response: ${result.cause().message}")
            else -> pass(ctx, part)
        }
    }

    override fun channelReadComplete(ctx: ChannelHandlerContext) {
        complete(ctx)
        ctx.fireChannelReadComplete()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        complete(ctx)
        failOnce(ctx.channel(), BROKEN_OFF)
    }

    @Deprecated("Deprecated in Java")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) =
        failOnce(ctx.channel(), cause.message ?: cause.javaClass.simpleName)

    /** The connection closed before this handler was added to it, so that no other event will fail the call. */
    fun onWriteFailed(channel: Channel, cause: Throwable) =
        channel.eventLoop().execute { failOnce(channel, cause.message ?: cause.javaClass.simpleName) }

    private fun pass(ctx: ChannelHandlerContext, part: HttpObject) {
        if (part is HttpResponse) isInterim = part.isInterim()
        if (isInterim) return
        if (part is HttpResponse) onHead(ctx, part)
        if (state == ResponseState.EXPECTED && part is HttpContent) {
            body.onContent(part.content())?.let { failOnce(ctx.channel(), it) }
        }
        if (state == ResponseState.EXPECTED && part is LastHttpContent) {
            state = ResponseState.READ
            codec.removeFrom(ctx.pipeline())
        }
    }

    private fun onHead(ctx: ChannelHandlerContext, response: HttpResponse) {
        val headers = response.headers().entries().map { Header(it.key, it.value) }
        val head = HttpHead(response.status().code(), headers.toPersistentList())
        val verdict = evidence.judge(head)
        body.begin(response)
        isKeptAlive = HttpUtil.isKeepAlive(response) && verdict == AnswerVerdict.OWN
        if (verdict == AnswerVerdict.FOREIGN) {
            failOnce(ctx.channel(), "the response is not one to this call")
        } else {
            listener.onHead(head)
        }
    }

    private fun complete(ctx: ChannelHandlerContext) {
        if (state != ResponseState.READ) return
        val defect = body.defect()
        if (defect != null) return failOnce(ctx.channel(), defect)
        state = ResponseState.REPORTED
        if (!isKeptAlive) ctx.close()
        ctx.pipeline().remove(this)
        release()
        listener.onCompleted()
    }

    private fun failOnce(channel: Channel, cause: String) {
        if (state == ResponseState.REPORTED) return
        state = ResponseState.REPORTED
        channel.close()
        release()
        listener.onFailure(wasConnected = true, cause)
    }

    private enum class ResponseState {
        /** Its end has not arrived. */
        EXPECTED,

        /** All of it was passed on, except that it is complete. */
        READ,

        /** Its completion, or a failure, was reported. */
        REPORTED,
    }
}

private const val BROKEN_OFF = "the connection was closed before the end of the response"

/** Whether another answer to the same call follows. */
private fun HttpResponse.isInterim(): Boolean =
    status().codeClass() == HttpStatusClass.INFORMATIONAL && status() != HttpResponseStatus.SWITCHING_PROTOCOLS
