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
 * Writes an answer to an HTTP connection.
 *
 * A streamed answer goes out as server-sent events; any other is held back until it is complete, so that a failure
 * half-way can still be told by a status.
 */
internal class HttpAnswerWriter(
    private val channel: Channel,
    private val heads: ResponseHeads,
    private val keepAlive: Boolean,
    private val settings: HttpSettings,
    private val writes: PendingWrites,
    private val finished: () -> Unit,
) : AnswerWriter {
    private var head: ResponseHead? = null
    private var held: PersistentList<ByteString> = persistentListOf()

    override fun begin(head: ResponseHead) {
        this.head = head
        if (head.isStreamed) write(heads.streamed(head))
    }

    override fun continueWith(data: ByteString) {
        if (head?.isStreamed == true) writeEvent(data) else held = held.add(data)
    }

    override fun end() {
        val known = head ?: return
        if (known.isStreamed) endStream(END_EVENT) else finish(heads.whole(known, join()))
    }

    override fun refuse(refusal: Refusal) {
        val text = ErrorBody.of(refusal).text().encodeToByteArray()
        if (head?.isStreamed == true) endStream(DATA + text + EVENT_END) else finish(heads.refusal(refusal, text))
    }

    private fun writeEvent(data: ByteString) {
        val event = Unpooled.wrappedBuffer(DATA, data.toByteArray(), EVENT_END)
        write(DefaultHttpContent(event))
    }

    private fun endStream(last: ByteArray) {
        write(DefaultHttpContent(Unpooled.wrappedBuffer(last)))
        finish(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    private fun join(): ByteBuf {
        val whole = channel.alloc().buffer(held.sumOf { it.size })
        return held.fold(whole) { body, piece -> body.writeBytes(piece.toByteArray()) }
    }

    private fun write(part: HttpObject) {
        channel.writeAndFlush(part)
        val unsent = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0
        if (unsent > settings.maxUnsentBytes) channel.close()
    }

    private fun finish(last: HttpObject) {
        val written = channel.writeAndFlush(last)
        writes.track(written)
        if (keepAlive) written.addListener { finished() } else written.addListener(ChannelFutureListener.CLOSE)
    }

    private companion object {
        val DATA = "data: ".encodeToByteArray()
        val EVENT_END = "\n\n".encodeToByteArray()
        val END_EVENT = "data: [DONE]\n\n".encodeToByteArray()
    }
}
