package org.ragwortbank.node.gateway

import org.ragwortbank.clients.http.Address
import java.net.InetSocketAddress
import java.nio.channels.ServerSocketChannel

/**
 * A socket to which callers can connect before the process is ready to serve them.
 *
 * It is opened as the first thing of a start, so that callers' connections wait in its queue in place of being refused.
 */
class ListeningSocket private constructor(internal val channel: ServerSocketChannel) {
    /** Where it listens. */
    val address: Address
        get() = (channel.localAddress as InetSocketAddress).let { Address(it.address.hostAddress, it.port) }

    companion object {
        private const val BACKLOG = 1_024

        /** Listens at [address]; a port of 0 takes a free one. */
        fun open(address: Address): ListeningSocket =
            ListeningSocket(ServerSocketChannel.open().bind(InetSocketAddress(address.host, address.port), BACKLOG))
    }
}
