package org.ragwortbank.standins.prepared

import io.netty.channel.EventLoopGroup
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ragwortbank.clients.http.Address
import org.ragwortbank.standins.http.Responder
import org.ragwortbank.standins.http.StandInRequest
import org.ragwortbank.standins.http.StandInServer
import java.util.Base64
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/** In-memory stand-in for the prepared platform's store. Leases do not expire: they end only on request. */
class StoreStandIn(group: EventLoopGroup) {
    private val state = StoreState()
    private val handler = StoreHandler(state)
    private val isUnavailable = AtomicReference(false)
    private val answerDelay = AtomicReference(Duration.ZERO)
    private val address = AtomicReference<Address?>(null)
    private val receivedPaths = AtomicReference<PersistentList<String>>(persistentListOf())
    private val server = StandInServer(group, ::respond)

    /** The current content, from which [restart] may continue later. */
    val snapshot: StoreSnapshot get() = state.snapshot

    /** Paths with queries of the calls, in the order in which they arrived. */
    val callPaths: PersistentList<String> get() = receivedPaths.get()

    /** Listens on [port], or on a free one if it is zero, and returns the address. */
    fun start(port: Int = 0): Address = server.start(port).also(address::set)

    /** Goes away like a process that ends: refuses connections until [restart]. */
    fun stop() = server.stop()

    /** Comes back at the same address after [stop], in a new era if [copy] is older than what it had. */
    fun restart(copy: StoreSnapshot = snapshot) {
        val newest = snapshot
        val era = if (copy == newest) newest.era else newest.era + 1
        state.restart(copy.copy(era = era))
        server.start(checkNotNull(address.get()) { "the store has not been started" }.port)
    }

    /** Delays each answer by [delay] from now on. */
    fun setAnswerDelay(delay: Duration) = answerDelay.set(delay)

    /** Writes [text] to [key], as an operator or an upstream does. */
    fun put(key: String, text: String) = putEncoded(key, Base64.getEncoder().encodeToString(text.encodeToByteArray()))

    /** Writes [base64] to [key] as it is, so that a test can store text that is not valid Base64. */
    fun putEncoded(key: String, base64: String) {
        state.update { it.withItem(key, base64) }
    }

    /** Removes [key], as an operator does. */
    fun remove(key: String) {
        state.update { it.withItem(key, null) }
    }

    /** Drops the history up to now, so that watches from an earlier revision are rejected with status 410. */
    fun compactHistory() {
        state.update { it.copy(compactedRevision = it.revision) }
    }

    /** While [unavailable], closes the connection of each call without a response. */
    fun setUnavailable(unavailable: Boolean) = isUnavailable.set(unavailable)

    private fun respond(request: StandInRequest, responder: Responder) {
        receivedPaths.updateAndGet { it.add(request.path) }
        val delay = answerDelay.get()
        when {
            isUnavailable.get() -> responder.closeConnection()
            delay > Duration.ZERO -> responder.schedule(delay) { handler.handle(request, responder) }
            else -> handler.handle(request, responder)
        }
    }
}
