package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf

/** Tells from the last bytes of an event stream whether it ends after a whole event, which a blank line follows. */
internal class EventStreamEnd {
    private var tail = ""

    /** Whether an event has ended, and nothing of another one has arrived since. */
    val isAfterWholeEvent: Boolean get() = BLANK_LINES.any(tail::endsWith)

    /** Adds the next part of the stream. */
    fun add(content: ByteBuf) {
        val size = minOf(content.readableBytes(), TAIL_BYTES)
        val last = content.toString(content.writerIndex() - size, size, Charsets.ISO_8859_1)
        tail = (tail + last).takeLast(TAIL_BYTES)
    }

    private companion object {
        const val TAIL_BYTES = 4
        val BLANK_LINES = listOf("\n\n", "\n\r\n", "\r\r")
    }
}
