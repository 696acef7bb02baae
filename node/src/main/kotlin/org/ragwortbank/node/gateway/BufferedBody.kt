package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled

/** The part of an answer's body that has not been relayed to the caller yet. */
internal class BufferedBody {
    private var body: CompositeByteBuf? = null

    /** Size in bytes. */
    val size: Int get() = body?.readableBytes() ?: 0

    /** Retains and appends [content]; the caller still releases its own reference. */
    fun add(content: ByteBuf) {
        val buffer = body ?: Unpooled.compositeBuffer(Int.MAX_VALUE).also { body = it }
        buffer.addComponent(true, content.retain())
    }

    /** Removes and returns the buffer, which the caller must release; null when it is empty. */
    fun take(): ByteBuf? {
        val buffer = body
        body = null
        return buffer
    }

    /** Drops and releases the buffer. */
    fun release() {
        take()?.release()
    }
}
