package org.ragwortbank.node.gateway

import org.ragwortbank.clients.http.Address
import java.net.InetSocketAddress
import java.nio.channels.ServerSocketChannel

/**
 * A listening socket to which callers can connect before the process is ready to serve them.
 *
 * It is opened first during start-up, so that connections wait in its backlog instead of being refused.
 */
class ListeningSocket private constructor(internal val channel: ServerSocketChannel) {
    /** The address on which it listens. */
    val address: Address
        get() = (channel.localAddress as InetSocketAddress).let { Address(it.address.hostAddress, it.port) }

    companion object {
        private const val BACKLOG = 1_024

        /** Listens on [address]; port 0 selects a free port. */
        fun open(address: Address): ListeningSocket =
            ListeningSocket(ServerSocketChannel.open().bind(InetSocketAddress(address.host, address.port), BACKLOG))
    }
}
