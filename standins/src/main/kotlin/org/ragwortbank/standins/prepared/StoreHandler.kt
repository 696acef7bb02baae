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

/** Answers the calls of the store. */
internal class StoreHandler(private val state: StoreState) : StandInHandler {
    override fun handle(request: StandInRequest, responder: Responder) {
        val query = QueryStringDecoder(request.path)
        val path = query.path()
        when {
            path == "/-/kv-range" -> range(query, responder)
            path == "/-/kv-watch" -> watch(query, responder)
            path == "/-/kv-txn" -> transact(request.json(), responder)
            path == "/-/kv-lease" -> lease(request.json(), responder)
            path.startsWith(KEEP) -> responder.send(OK, """{"lease":${path.removePrefix(KEEP)}}""")
            path.startsWith(END) -> end(path.removePrefix(END).toLong(), responder)
            else -> responder.send(NOT_FOUND, "{}")
        }
    }

    private fun range(query: QueryStringDecoder, responder: Responder) {
        val now = state.content
        val after = query.value("after")
        val all = now.range(query.value("prefix")).filter { it.key > after }
        val body = buildJsonObject {
            put("items", all.take(PAGE).json())
            put("has_more", all.size > PAGE)
            put("at", now.revision)
        }
        responder.send(OK, body.toString())
    }

    private fun watch(query: QueryStringDecoder, responder: Responder) {
        val prefix = query.value("prefix")
        val after = query.value("after").toLong()
        val watch = Watch(prefix, after) { tell(prefix, after, it, responder) }
        val now = state.content
        when {
            after < now.forgotten -> responder.send(GONE, "{}")
            now.changes(prefix, after).isNotEmpty() -> watch.tell(now)
            else -> {
                state.await(watch)
                responder.schedule(query.value("wait_ms").toInt().milliseconds) { state.answer(watch) }
            }
        }
    }

    private fun tell(prefix: String, after: Long, now: StoreData, responder: Responder) {
        val body = buildJsonObject {
            put("events", now.changes(prefix, after).json())
            put("at", now.revision)
        }
        responder.send(OK, body.toString())
    }

    private fun transact(body: JsonObject, responder: Responder) {
        val holds = body.rows("expected").all { row ->
            val known = state.content.items[row.text("key")]?.takeIf { it.value != null }?.revision ?: 0
            known == row.number("revision")
        }
        if (!holds) return responder.send(FAILED, """{"items":[]}""")
        val next = state.change { before ->
            val written = body.rows("writes").fold(before) { all, row ->
                all.write(row.text("key"), row.text("value"), row.number("lease") ?: 0)
            }
            body["drop"]?.jsonArray.orEmpty().fold(written) { all, key -> all.write(key.jsonPrimitive.content, null) }
        }
        responder.send(OK, """{"revision":${next.revision}}""")
    }

    private fun lease(body: JsonObject, responder: Responder) {
        val granted = state.change { it.copy(lastLease = it.lastLease + 1) }.lastLease
        responder.send(OK, """{"lease":$granted,"ttl_ms":${body.number("ttl_ms")}}""")
    }

    private fun end(lease: Long, responder: Responder) {
        state.change { it.end(lease) }
        responder.send(OK, "{}")
    }

    private companion object {
        const val KEEP = "/-/kv-keep/"
        const val END = "/-/kv-lease-end/"
        const val PAGE = 500
        const val OK = 200
        const val NOT_FOUND = 404
        const val GONE = 410
        const val FAILED = 412
    }
}
