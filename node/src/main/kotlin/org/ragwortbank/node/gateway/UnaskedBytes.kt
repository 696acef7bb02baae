package org.ragwortbank.node.gateway

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import org.ragwortbank.core.log.cleanedText
import org.ragwortbank.core.serving.Endpoint
import java.net.InetSocketAddress

private const val MAX_LINE_BYTES = 80

/**
 * Bytes that arrived on a connection without a request.
 *
 * @property upstream remote address of the connection; null if it is unknown
 * @property firstLine beginning of the first line, cleaned for log lines
 */
internal data class UnaskedBytes(
    val history: ConnectionHistory,
    val upstream: Endpoint?,
    val count: Int,
    val firstLine: String,
)

/** Describes [bytes], which arrived on [channel], a connection with [history]. */
internal fun unaskedBytes(history: ConnectionHistory, channel: Channel, bytes: ByteBuf): UnaskedBytes {
    val upstream = (channel.remoteAddress() as? InetSocketAddress)?.let { Endpoint(it.hostString, it.port) }
    return UnaskedBytes(history, upstream, bytes.readableBytes(), firstLine(bytes))
}

private fun firstLine(bytes: ByteBuf): String {
    val length = bytes.readableBytes().coerceAtMost(MAX_LINE_BYTES)
    val text = bytes.toString(bytes.readerIndex(), length, Charsets.ISO_8859_1)
    val line = text.trimStart('\r', '\n').lineSequence().first()
    return cleanedText(line, MAX_LINE_BYTES)
}
