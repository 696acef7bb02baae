package org.ragwortbank.node.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.ChannelOption
import io.netty.channel.MaxMessagesRecvByteBufAllocator

/**
 * Has each connection that the server accepts read to its end whenever it is read, and its handlers notified of an end
 * at once instead of after what is decided on its input. Each connection needs a [CallerConnectionHandler].
 *
 * A server that gets to a request late finds the request and the end together. Read one after the other, the request
 * would be sent on before it is known that its caller has left.
 */
internal fun ServerBootstrap.readToEndOfInput(): ServerBootstrap =
    childOption(ChannelOption.RECVBUF_ALLOCATOR, readBuffers()).childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)

/** Without more data in sight, one more read finds the end if there is one. */
private fun readBuffers(): MaxMessagesRecvByteBufAllocator =
    AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS)

/** Leaves time for other connections. */
private const val MAX_READS = 16
