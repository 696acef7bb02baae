package org.ragwortbank.standins.prepared

import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
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
            path.startsWith(RENEW_LEASE_PATH) ->
                responder.send(OK, """{"lease":${path.removePrefix(RENEW_LEASE_PATH)}}""")
            path.startsWith(END_LEASE_PATH) -> endLease(path.removePrefix(END_LEASE_PATH).toLong(), responder)
            else -> responder.send(NOT_FOUND, "{}")
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
        responder.send(OK, body.toString())
    }

    private fun watch(query: QueryStringDecoder, responder: Responder) {
        val prefix = query.parameterOrEmpty("prefix")
        val afterRevision = query.parameterOrEmpty("after").toLong()
        val watch = Watch(prefix, afterRevision) { sendChanges(prefix, afterRevision, it, responder) }
        val snapshot = state.snapshot
        when {
            afterRevision < snapshot.compactedRevision -> responder.send(GONE, "{}")
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
        responder.send(OK, body.toString())
    }

    private fun transact(body: JsonObject, responder: Responder) {
        val arePreconditionsMet = body.objectList("expected").all { row ->
            val item = state.snapshot.items[row.requiredString("key")]
            val currentRevision = item?.takeIf { it.value != null }?.revision ?: 0
            currentRevision == row.optionalLong("revision")
        }
        if (!arePreconditionsMet) return responder.send(PRECONDITION_FAILED, """{"items":[]}""")
        val updated = state.update { previous ->
            val written = body.objectList("writes").fold(previous) { snapshot, row ->
                snapshot.withItem(
                    key = row.requiredString("key"),
                    value = row.requiredString("value"),
                    leaseId = row.optionalLong("lease") ?: 0,
                )
            }
            body["drop"]?.jsonArray.orEmpty().fold(written) { snapshot, key ->
                snapshot.withItem(key.jsonPrimitive.content, null)
            }
        }
        responder.send(OK, """{"revision":${updated.revision}}""")
    }

    private fun grantLease(body: JsonObject, responder: Responder) {
        val leaseId = state.update { it.copy(lastLeaseId = it.lastLeaseId + 1) }.lastLeaseId
        responder.send(OK, """{"lease":$leaseId,"ttl_ms":${body.optionalLong("ttl_ms")}}""")
    }

    private fun endLease(leaseId: Long, responder: Responder) {
        state.update { it.withLeaseEnded(leaseId) }
        responder.send(OK, "{}")
    }

    private companion object {
        const val RENEW_LEASE_PATH = "/-/kv-keep/"
        const val END_LEASE_PATH = "/-/kv-lease-end/"
        const val PAGE_SIZE = 500
        const val OK = 200
        const val NOT_FOUND = 404
        const val GONE = 410
        const val PRECONDITION_FAILED = 412
    }
}
