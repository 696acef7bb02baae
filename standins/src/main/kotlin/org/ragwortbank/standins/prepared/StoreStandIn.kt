package org.ragwortbank.standins.prepared

import io.netty.channel.EventLoopGroup
import org.ragwortbank.clients.http.Address
import org.ragwortbank.standins.http.StandInServer
import java.util.Base64
import java.util.concurrent.atomic.AtomicReference

/** Stands in for the prepared platform's store, in memory; leases end only when they are told to. */
class StoreStandIn(group: EventLoopGroup) {
    private val state = StoreState()
    private val handler = StoreHandler(state)
    private val isUnavailable = AtomicReference(false)
    private val server = StandInServer(group) { request, responder ->
        if (isUnavailable.get()) responder.drop() else handler.handle(request, responder)
    }

    /** Listens on [port]. */
    fun start(port: Int = 0): Address = server.start(port)

    /** Sets [key] to [text] as the operator or an upstream does. */
    fun put(key: String, text: String) = putEncoded(key, Base64.getEncoder().encodeToString(text.encodeToByteArray()))

    /** Sets [key] to the bytes that [base64] stands for, or to what is no Base64 at all. */
    fun putEncoded(key: String, base64: String) {
        state.update { it.withItem(key, base64) }
    }

    /** Forgets which changes were made so far. */
    fun compactHistory() {
        state.update { it.copy(compactedRevision = it.revision) }
    }

    /** Drops every call from now on, or answers again. */
    fun setUnavailable(unavailable: Boolean) = isUnavailable.set(unavailable)
}
