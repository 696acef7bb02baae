package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import org.ragwortbank.node.port.RequestDialect
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Hears what becomes of one send; ends with exactly one of [notSent], [ended] and [broke] unless it is cancelled. */
internal interface AttemptListener {
    /** No byte left this process. */
    fun notSent(cause: String)

    /** The head of the answer arrived. */
    fun head(response: HttpResponse)

    /** A part of the answer's body arrived; the listener must retain [content] to keep it. */
    fun content(content: ByteBuf)

    /** The answer is complete. */
    fun ended()

    /** The connection broke, or carried something that is no answer. */
    fun broke(cause: String)
}

/** One request on its way to an upstream and its answer on the way back. */
internal class UpstreamExchange(
    private val id: String,
    private val request: FullHttpRequest,
    private val listener: AttemptListener,
    private val dialect: RequestDialect,
    private val release: (Channel, Duration) -> Unit,
) {
    private var channel: Channel? = null
    private var closed = false
    private var head: HttpResponse? = null
    private var skipping = false
    private var skipped = 0

    /**
     * Gives the request up and resets its connection.
     *
     * A request that is still on its way, to an instance that is paused or cut off, must not arrive later; only a
     * reset takes it back.
     */
    fun cancel() {
        val open = channel
        if (!closed && open == null) request.release()
        closed = true
        open?.config()?.setOption(ChannelOption.SO_LINGER, 0)
        open?.close()
    }

    /** Whether the answer is read at once; while it isn't, the upstream must wait. */
    fun read(reads: Boolean) {
        channel?.config()?.isAutoRead = reads
    }

    /** The connection for the request is open, or failed for [cause]. */
    fun connected(opened: Channel, cause: Throwable?) {
        when {
            closed -> opened.close()
            cause != null -> {
                closed = true
                request.release()
                listener.notSent(cause.message ?: cause.javaClass.simpleName)
            }
            else -> sendOn(opened)
        }
    }

    /** Sends the request on [opened]. */
    fun sendOn(opened: Channel) {
        channel = opened
        opened.pipeline().get(UpstreamHandler::class.java).exchange = this
        opened.writeAndFlush(request).addListener { sent ->
            if (!sent.isSuccess) onBroken(sent.cause().message ?: "not written")
        }
    }

    /** The head of an answer arrived. */
    fun onHead(response: HttpResponse) {
        val informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        skipping = informational || dialect.answersOtherRequest(response, id)
        when {
            closed -> Unit
            !skipping -> {
                head = response
                listener.head(response)
            }
            !informational && ++skipped > MAX_SKIPPED -> onBroken("answers to other requests")
        }
    }

    /** A part of an answer's body arrived. */
    fun onContent(content: ByteBuf) {
        if (!closed && !skipping && content.isReadable) listener.content(content)
    }

    /** An answer is complete. */
    fun onLast(opened: Channel) {
        val received = head
        if (closed || skipping || received == null) return
        closed = true
        opened.pipeline().get(UpstreamHandler::class.java)?.exchange = null
        val framed = HttpUtil.isContentLengthSet(received) || HttpUtil.isTransferEncodingChunked(received)
        val keeps = HttpUtil.isKeepAlive(received) && framed && skipped == 0
        opened.config().isAutoRead = true
        if (keeps) release(opened, usableFor(received)) else opened.close()
        listener.ended()
    }

    /** The connection broke or carried bytes that are no answer. */
    fun onBroken(cause: String) {
        if (closed) return
        closed = true
        channel?.close()
        listener.broke(cause)
    }

    private fun usableFor(response: HttpResponse): Duration {
        val told = dialect.keepAliveTimeout(response) ?: return UNTOLD_IDLE
        return (told - IDLE_MARGIN).coerceAtMost(LONGEST_IDLE)
    }

    private companion object {
        const val MAX_SKIPPED = 3

        /** An upstream may close an idle connection while the next request is on its way. */
        val IDLE_MARGIN = 700.milliseconds
        val UNTOLD_IDLE = 1.seconds
        val LONGEST_IDLE = 20.seconds
    }
}
