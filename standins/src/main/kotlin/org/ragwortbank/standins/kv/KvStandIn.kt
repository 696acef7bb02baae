package org.ragwortbank.standins.kv

import io.netty.channel.EventLoopGroup
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.kv.KeyValue
import org.ragwortbank.clients.kv.TxnRequest
import org.ragwortbank.clients.kv.TxnResponse
import org.ragwortbank.clients.kv.WatchEvent
import org.ragwortbank.clients.kv.WatchRequest
import org.ragwortbank.clients.kv.WatchResponse
import org.ragwortbank.clients.kv.WatchResult
import org.ragwortbank.clients.kv.decodeBase64
import org.ragwortbank.standins.http.Responder
import org.ragwortbank.standins.http.StandInRequest
import org.ragwortbank.standins.http.StandInServer
import java.util.concurrent.atomic.AtomicReference

/**
 * Stands in for the key-value service: transactions and watches of the JSON gateway of etcd v3, in memory.
 * `/control/FAULT` sets one of the faults in [KvFault].
 */
class KvStandIn(group: EventLoopGroup) {
    private val server = StandInServer(group, ::handle)
    private val data = AtomicReference(KvData())
    private val watches = AtomicReference<PersistentList<Watch>>(persistentListOf())
    private val fault = AtomicReference(KvFault.NONE)

    /** Listens on [port], or on a free port if [port] is 0, and returns the address. */
    fun start(port: Int): Address = server.start(port)

    private fun handle(request: StandInRequest, responder: Responder) {
        when {
            request.path.startsWith(CONTROL_PREFIX) -> setFault(request, responder)
            fault.get() == KvFault.DOWN -> responder.closeConnection()
            request.path == "/v3/kv/txn" -> transact(request, responder)
            request.path == "/v3/watch" -> watch(request, responder)
            else -> responder.send(NOT_FOUND, "{}")
        }
    }

    private fun setFault(request: StandInRequest, responder: Responder) {
        val newFault = KvFault.valueOf(request.path.removePrefix(CONTROL_PREFIX).uppercase())
        fault.set(newFault)
        if (newFault == KvFault.DOWN) watches.getAndSet(persistentListOf()).forEach { it.responder.closeConnection() }
        responder.send(OK, "{}")
    }

    private fun transact(request: StandInRequest, responder: Responder) {
        val txn = json.decodeFromString(TxnRequest.serializer(), request.body)
        val outcome = commit(txn)
        notifyWatches(outcome.changedPairs)
        val losesResponse = fault.get() == KvFault.LOSE_ANSWERS && outcome.changedPairs.isNotEmpty()
        if (losesResponse) responder.closeConnection() else responder.send(OK, encodeResponse(outcome.response))
    }

    private fun encodeResponse(response: TxnResponse): String = json.encodeToString(TxnResponse.serializer(), response)

    @Synchronized
    private fun commit(txn: TxnRequest): TransactionOutcome {
        val outcome = data.get().execute(txn)
        data.set(outcome.data)
        return outcome
    }

    private fun watch(request: StandInRequest, responder: Responder) {
        val create = json.decodeFromString(WatchRequest.serializer(), request.body).create
        val watch = Watch(create.key.decodeBase64(), create.end.decodeBase64(), responder)
        responder.beginChunked("application/json")
        watches.updateAndGet { it.add(watch) }
        responder.onDisconnect { watches.updateAndGet { it.remove(watch) } }
        watch.send(WatchResult(created = true))
    }

    private fun notifyWatches(changedPairs: List<KeyValue>) {
        if (changedPairs.isEmpty()) return
        watches.get().forEach { watch ->
            val events = changedPairs.filter { watch.covers(it.key.decodeBase64()) }.map(::WatchEvent)
            if (events.isNotEmpty()) watch.send(WatchResult(events = events))
        }
    }

    private class Watch(private val start: String, private val end: String, val responder: Responder) {
        fun covers(key: String): Boolean = key >= start && key < end

        fun send(result: WatchResult) =
            responder.sendChunk(json.encodeToString(WatchResponse.serializer(), WatchResponse(result)) + "\n")
    }

    private companion object {
        const val CONTROL_PREFIX = "/control/"
        const val OK = 200
        const val NOT_FOUND = 404
        val json = Json { ignoreUnknownKeys = true }
    }
}
