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

/** Accepts links that other processes open. */
internal class PeerServer(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val listener: IncomingLinkListener,
    private val writes: PendingWrites = PendingWrites(),
) {
    private val lastLinkNumber = AtomicLong()

    private val boundSocket = CompletableDeferred<ServerSocket>()

    /** Listens on [address] and returns the address bound, which has another port if the port was zero. */
    suspend fun bind(address: Address): Address {
        val server = aSocket(selector).tcp().bind(address.host, address.port)
        boundSocket.complete(server)
        return Address(address.host, (server.localAddress as InetSocketAddress).port)
    }

    /** Starts to serve connections, first those that have been queued since [bind]. */
    fun start() = scope.launch { accept(boundSocket.await()) }

    private suspend fun accept(server: ServerSocket) {
        while (true) {
            val socket = server.accept()
            scope.launch(Dispatchers.Unconfined) { serve(socket) }
        }
    }

    private suspend fun serve(socket: Socket) {
        val link = IncomingLink(lastLinkNumber.incrementAndGet(), PeerConnection(socket, writes), listener)
        var cause = "the link failed"
        try {
            cause = link.connection.serve(link::receive)
        } catch (e: IOException) {
            cause = e.message ?: "connection lost"
        } finally {
            link.onClosed(cause)
        }
    }

    private class IncomingLink(
        private val number: Long,
        val connection: PeerConnection,
        private val listener: IncomingLinkListener,
    ) {
        private var peer: String? = null

        fun receive(message: WireMessage): Boolean {
            val peerName = peer
            return when {
                peerName != null -> listener.onMessage(number, peerName, message)
                message !is WireMessage.Hello || message.protocol != PROTOCOL_VERSION -> false
                else -> acceptHello(message)
            }
        }

        fun onClosed(cause: String) {
            val peerName = peer
            Logs.links.info("link {} of {} closed: {}", number, peerName ?: "an unidentified peer", cause)
            if (peerName == null) listener.onHandshakeFailed() else listener.onClosed(number, peerName)
        }

        private fun acceptHello(hello: WireMessage.Hello): Boolean {
            peer = hello.name
            listener.onOpened(number, hello.name, connection)
            return true
        }
    }
}
