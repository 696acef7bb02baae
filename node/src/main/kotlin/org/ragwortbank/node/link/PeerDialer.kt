package org.ragwortbank.node.link

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.io.IOException
import org.ragwortbank.clients.http.Address
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.wire.WireMessage
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Keeps one link to another process open, reconnecting after each failure. */
internal class PeerDialer(
    private val selector: SelectorManager,
    private val address: Address,
    private val hello: WireMessage.Hello,
    private val listener: OutgoingLinkListener,
) {
    private val connection = AtomicReference<PeerConnection?>(null)

    /** Sends [message] if the link is open; otherwise drops it, and the listener has been or will be notified. */
    fun send(message: WireMessage) {
        connection.get()?.send(message)
    }

    /** Connects and reconnects until [scope] is cancelled. */
    fun start(scope: CoroutineScope) = scope.launch(Dispatchers.Unconfined) {
        while (true) {
            connectOnce()
            delay(REDIAL_DELAY)
        }
    }

    private suspend fun connectOnce() {
        var cause = "the link failed"
        try {
            cause = connectAndServe()
        } catch (e: IOException) {
            cause = e.message ?: "connection lost"
        } finally {
            if (clearConnection()) Logs.links.info("link to {} closed: {}", address, cause)
        }
    }

    private suspend fun connectAndServe(): String {
        val socket = withConnectTimeout {
            aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
        }
        val newConnection = PeerConnection(socket)
        newConnection.send(hello)
        connection.set(newConnection)
        listener.onOpened()
        Logs.links.info("link to {} open", address)
        return newConnection.serve(listener::onMessage)
    }

    private suspend fun <T> withConnectTimeout(block: suspend () -> T): T =
        try {
            withTimeout(CONNECT_TIMEOUT) { block() }
        } catch (e: kotlinx.coroutines.TimeoutCancellationException) {
            throw IOException("connection timed out after $CONNECT_TIMEOUT", e)
        }

    private fun clearConnection(): Boolean {
        val wasConnected = connection.getAndSet(null) != null
        if (wasConnected) listener.onClosed()
        return wasConnected
    }

    private companion object {
        val REDIAL_DELAY = 200.milliseconds
        val CONNECT_TIMEOUT = 2.seconds
    }
}
