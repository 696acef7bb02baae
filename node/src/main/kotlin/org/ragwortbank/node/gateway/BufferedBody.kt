package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * The part of an answer's body that has not been relayed to the caller yet.
 *
 * It is a copy: an upstream may send a body in very many small parts, and each of these would keep the whole buffer
 * that it was read into.
 *
 * @property budget counts the bytes of all bodies of the process
 */
internal class BufferedBody(private val budget: BufferBudget) {
    private var body: ByteBuf? = null

    /** Size in bytes. */
    val size: Int get() = body?.readableBytes() ?: 0

    /** Appends a copy of [content]. */
    fun add(content: ByteBuf) {
        val buffer = body ?: Unpooled.buffer(content.readableBytes()).also { body = it }
        budget.add(content.readableBytes())
        buffer.writeBytes(content, content.readerIndex(), content.readableBytes())
    }

    /** Removes and returns the buffer, which the caller must release; null when it is empty. */
    fun take(): ByteBuf? {
        val buffer = body
        budget.remove(size)
        body = null
        return buffer
    }

    /** Drops and releases the buffer. */
    fun release() {
        take()?.release()
    }
}
