package org.ragwortbank.standins.prepared

import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import org.ragwortbank.core.model.Header
import org.ragwortbank.standins.http.Responder
import org.ragwortbank.standins.http.StandInHandler
import org.ragwortbank.standins.http.StandInRequest
import kotlin.time.Duration.Companion.milliseconds

/** Handles the HTTP calls of the store: range reads, watches, transactions and leases. */
internal class StoreHandler(private val state: StoreState) : StandInHandler {
    override fun handle(request: StandInRequest, responder: Responder) {
        val query = QueryStringDecoder(request.path)
        val path = query.path()
        when {
            path == "/-/kv-range" -> readRange(query, responder)
            path == "/-/kv-watch" -> watch(query, responder)
            path == "/-/kv-txn" -> transact(request.parseJsonBody(), responder)
            path == "/-/kv-lease" -> grantLease(request.parseJsonBody(), responder)
            path.startsWith(RENEW_LEASE_PATH) -> renewLease(path.removePrefix(RENEW_LEASE_PATH).toLong(), responder)
            path.startsWith(END_LEASE_PATH) -> endLease(path.removePrefix(END_LEASE_PATH).toLong(), responder)
            else -> responder.answer(state.snapshot, NOT_FOUND, "{}")
        }
    }

    private fun readRange(query: QueryStringDecoder, responder: Responder) {
        val snapshot = state.snapshot
        val afterKey = query.parameterOrEmpty("after")
        val remaining = snapshot.itemsWithPrefix(query.parameterOrEmpty("prefix")).filter { it.key > afterKey }
        val body = buildJsonObject {
            put("items", remaining.take(PAGE_SIZE).toJson())
            put("has_more", remaining.size > PAGE_SIZE)
            put("at", snapshot.revision)
        }
        responder.answer(snapshot, OK, body.toString())
    }

    private fun watch(query: QueryStringDecoder, responder: Responder) {
        val prefix = query.parameterOrEmpty("prefix")
        val afterRevision = query.parameterOrEmpty("after").toLong()
        val watch = Watch(prefix, afterRevision) { sendChanges(prefix, afterRevision, it, responder) }
        val snapshot = state.snapshot
        when {
            !snapshot.hasHistoryAfter(afterRevision) -> responder.answer(snapshot, GONE, "{}")
            snapshot.changesAfter(prefix, afterRevision).isNotEmpty() -> watch.respond(snapshot)
            else -> {
                state.register(watch)
                responder.schedule(query.parameterOrEmpty("wait_ms").toInt().milliseconds) { state.complete(watch) }
            }
        }
    }

    private fun sendChanges(prefix: String, afterRevision: Long, snapshot: StoreSnapshot, responder: Responder) {
        val body = buildJsonObject {
            put("events", snapshot.changesAfter(prefix, afterRevision).toJson())
            put("at", snapshot.revision)
        }
        responder.answer(snapshot, OK, body.toString())
    }

    private fun transact(body: JsonObject, responder: Responder) {
        val leases = body.objectList("writes").mapNotNull { it.optionalLong("lease") }.filter { it != NO_LEASE }
        if (!state.snapshot.leaseIds.containsAll(leases)) return responder.answer(state.snapshot, NOT_FOUND, "{}")
        val arePreconditionsMet = body.objectList("expected").all { row ->
            val item = state.snapshot.items[row.requiredString("key")]
            val currentRevision = item?.takeIf { it.value != null }?.revision ?: 0
            currentRevision == row.optionalLong("revision")
        }
        if (!arePreconditionsMet) return responder.answer(state.snapshot, PRECONDITION_FAILED, """{"items":[]}""")
        val updated = state.update { previous ->
            val written = body.objectList("writes").fold(previous) { snapshot, row ->
                snapshot.withItem(
                    key = row.requiredString("key"),
                    value = row.requiredString("value"),
                    leaseId = row.optionalLong("lease") ?: NO_LEASE,
                )
            }
            body["drop"]?.jsonArray.orEmpty().fold(written) { snapshot, key ->
                snapshot.withItem(key.jsonPrimitive.content, null)
            }
        }
        responder.answer(updated, OK, """{"revision":${updated.revision}}""")
    }

    private fun grantLease(body: JsonObject, responder: Responder) {
        val updated = state.update { it.withLease() }
        responder.answer(updated, OK, """{"lease":${updated.lastLeaseId},"ttl_ms":${body.optionalLong("ttl_ms")}}""")
    }

    private fun renewLease(leaseId: Long, responder: Responder) {
        val snapshot = state.snapshot
        val status = if (leaseId in snapshot.leaseIds) OK else NOT_FOUND
        responder.answer(snapshot, status, """{"lease":$leaseId}""")
    }

    private fun endLease(leaseId: Long, responder: Responder) {
        responder.answer(state.update { it.withLeaseEnded(leaseId) }, OK, "{}")
    }

    private fun Responder.answer(snapshot: StoreSnapshot, status: Int, body: String) =
        send(status, body, headers = listOf(Header("Store-Era", snapshot.era.toString())))

    private companion object {
        const val RENEW_LEASE_PATH = "/-/kv-keep/"
        const val END_LEASE_PATH = "/-/kv-lease-end/"
        const val PAGE_SIZE = 500
        const val NO_LEASE = 0L
        const val OK = 200
        const val NOT_FOUND = 404
        const val GONE = 410
        const val PRECONDITION_FAILED = 412
    }
}
