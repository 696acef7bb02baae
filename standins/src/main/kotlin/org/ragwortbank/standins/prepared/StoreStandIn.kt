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
    private val down = AtomicReference(false)
    private val server = StandInServer(group) { request, responder ->
        if (down.get()) responder.closeConnection() else handler.handle(request, responder)
    }

    /** Listens on [port]. */
    fun start(port: Int = 0): Address = server.start(port)

    /** Sets [key] to [text] as the operator or an upstream does. */
    fun put(key: String, text: String) = putRaw(key, Base64.getEncoder().encodeToString(text.encodeToByteArray()))

    /** Sets [key] to the bytes that [base64] stands for, or to what is no Base64 at all. */
    fun putRaw(key: String, base64: String) {
        state.change { it.write(key, base64) }
    }

    /** Forgets which changes were made so far. */
    fun forget() {
        state.change { it.copy(forgotten = it.revision) }
    }

    /** Drops every call from now on, or answers again. */
    fun fail(fails: Boolean) = down.set(fails)
}
