package org.ragwortbank.node.link

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import org.ragwortbank.clients.http.Address
import org.ragwortbank.node.PendingWrites
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.wire.PROTOCOL_VERSION
import org.ragwortbank.node.wire.WireMessage
import java.util.concurrent.atomic.AtomicLong

/** Accepts links of other processes. */
internal class PeerServer(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val handler: PeerHandler,
    private val writes: PendingWrites = PendingWrites(),
) {
    private val lastLink = AtomicLong()

    private val bound = CompletableDeferred<ServerSocket>()

    /** Listens on [address] and returns the address bound, which differs when the port was zero. */
    suspend fun bind(address: Address): Address {
        val server = aSocket(selector).tcp().bind(address.host, address.port)
        bound.complete(server)
        return Address(address.host, (server.localAddress as InetSocketAddress).port)
    }

    /** Serves connections from now on; those made since [bind] are waiting. */
    fun start() = scope.launch { accept(bound.await()) }

    private suspend fun accept(server: ServerSocket) {
        while (true) {
            val socket = server.accept()
            scope.launch(Dispatchers.Unconfined) { serve(socket) }
        }
    }

    private suspend fun serve(socket: Socket) {
        val link = IncomingLink(lastLink.incrementAndGet(), PeerConnection(socket, writes), handler)
        var cause = "the link failed"
        try {
            cause = link.connection.serve(link::receive)
        } catch (e: IOException) {
            cause = e.message ?: "connection lost"
        } finally {
            link.closed(cause)
        }
    }

    private class IncomingLink(
        private val number: Long,
        val connection: PeerConnection,
        private val handler: PeerHandler,
    ) {
        private var peer: String? = null

        fun receive(message: WireMessage): Boolean {
            val known = peer
            return when {
                known != null -> handler.onMessage(number, known, message)
                message !is WireMessage.Hello || message.protocol != PROTOCOL_VERSION -> false
                else -> greet(message)
            }
        }

        fun closed(cause: String) {
            val known = peer
            Logs.links.info("link {} of {} closed: {}", number, known ?: "an unknown peer", cause)
            if (known == null) handler.onStranger() else handler.onClosed(number, known)
        }

        private fun greet(hello: WireMessage.Hello): Boolean {
            peer = hello.name
            handler.onOpened(number, hello.name, connection)
            return true
        }
    }
}
