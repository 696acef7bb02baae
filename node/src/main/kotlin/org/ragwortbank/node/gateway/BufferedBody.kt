package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled

/** The part of an answer's body that has not gone on to the caller yet. */
internal class BufferedBody {
    private var body: CompositeByteBuf? = null

    /** Bytes held. */
    val size: Int get() = body?.readableBytes() ?: 0

    /** Keeps [content], which stays its sender's to release. */
    fun add(content: ByteBuf) {
        val buffer = body ?: Unpooled.compositeBuffer(Int.MAX_VALUE).also { body = it }
        buffer.addComponent(true, content.retain())
    }

    /** Gives all of it away; null when there is nothing. */
    fun take(): ByteBuf? {
        val buffer = body
        body = null
        return buffer
    }

    /** Forgets it. */
    fun release() {
        take()?.release()
    }
}
