package org.ragwortbank.node.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.LastHttpContent
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.node.PendingWrites
import org.ragwortbank.node.settings.HttpSettings

/**
 * Writes a response to an HTTP connection.
 *
 * A streamed response is sent as server-sent events. Any other is buffered until it is complete, so that a failure
 * half-way can still be reported by an HTTP status.
 *
 * The response is over when it is complete or refused. From then on the connection belongs to the caller's next
 * request, and nothing more is written.
 */
internal class HttpResponseWriter(
    private val channel: Channel,
    private val responses: ResponseFactory,
    private val settings: HttpSettings,
    private val pendingWrites: PendingWrites,
    private val onWritten: () -> Unit,
) : ResponseWriter {
    private var head: ResponseHead? = null
    private var bufferedChunks: PersistentList<ByteString> = persistentListOf()
    private var isOver = false

    override fun writeHead(head: ResponseHead) {
        if (isOver) return
        this.head = head
        if (head.isStreamed) write(responses.streamedHead(head))
    }

    override fun writeChunk(data: ByteString) {
        if (isOver) return
        if (head?.isStreamed == true) writeEvent(data) else bufferedChunks = bufferedChunks.add(data)
    }

    override fun complete() {
        val begunHead = head?.takeUnless { isOver } ?: return
        if (begunHead.isStreamed) endStream(DONE_EVENT) else finish(responses.fullResponse(begunHead, joinChunks()))
    }

    override fun writeRefusal(refusal: Refusal) {
        if (isOver) return
        val text = ErrorBody.of(refusal).toJson().encodeToByteArray()
        if (head?.isStreamed == true) {
            endStream(EVENT_START + text + EVENT_END)
        } else {
            finish(responses.refusalResponse(refusal, text))
        }
    }

    private fun writeEvent(data: ByteString) {
        val event = Unpooled.wrappedBuffer(EVENT_START, data.toByteArray(), EVENT_END)
        write(DefaultHttpContent(event))
    }

    private fun endStream(last: ByteArray) {
        write(DefaultHttpContent(Unpooled.wrappedBuffer(last)))
        finish(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    private fun joinChunks(): ByteBuf {
        val body = channel.alloc().buffer(bufferedChunks.sumOf { it.size })
        return bufferedChunks.fold(body) { joined, chunk -> joined.writeBytes(chunk.toByteArray()) }
    }

    private fun write(part: HttpObject) {
        channel.writeAndFlush(part)
        val unsent = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
        if (unsent > settings.maxUnsentBytes) channel.close()
    }

    private fun finish(last: HttpObject) {
        isOver = true
        val written = channel.writeAndFlush(last)
        pendingWrites.track(written)
        val staysOpen = responses.staysOpenAfter(head)
        if (staysOpen) written.addListener { onWritten() } else written.addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        val EVENT_START = "data: ".encodeToByteArray()
        val EVENT_END = "\n\n".encodeToByteArray()
        val DONE_EVENT = "data: [DONE]\n\n".encodeToByteArray()
    }
}
