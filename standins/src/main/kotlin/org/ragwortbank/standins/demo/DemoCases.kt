package org.ragwortbank.standins.demo

import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.core.model.Header
import org.ragwortbank.standins.fleet.BlockingHttp

/** The cases of the demo; [revokeKey] revokes a key and returns once all entries reject it. */
internal class DemoCases(
    private val entries: List<Address>,
    private val keys: DemoKeys,
    private val revokeKey: (String) -> Unit,
) {
    fun allCases(): List<DemoCase> = modelCalls() + serviceCalls() + rejections()

    private fun modelCalls(): List<DemoCase> = listOf(
        DemoCase("chat, whole, adapter loaded on demand", OK, expectedText = "ski-advice@3:23") {
            chat(entries[0], keys.large, "ski-advice", stream = false)
        },
        DemoCase("chat, streamed, through the other entry", OK, expectedText = "data: [DONE]") {
            chat(entries[1], keys.large, "ski-advice", stream = true)
        },
        DemoCase("completion, another adapter", OK, expectedText = "roster-summary@1:23") {
            val body = """{"model":"roster-summary","prompt":"the week's lessons","max_tokens":64}"""
            BlockingHttp.post(entries[0], "/v1/completions", keys.large, body)
        },
        DemoCase(
            "models that the small club may reach",
            OK,
            expectedText = "[{\"id\":\"ski-advice\",\"object\":\"model\"}]",
        ) {
            BlockingHttp.get(entries[1], "/v1/models", keys.small)
        },
    )

    private fun serviceCalls(): List<DemoCase> = listOf(
        DemoCase("plain service call", OK, expectedText = "/lessons?day=1") {
            BlockingHttp.get(entries[0], "/services/bookings/lessons?day=1", keys.large)
        },
        DemoCase("booking that must run only once", OK, expectedText = "/lessons") { book(entries[0]) },
        DemoCase("the same booking again, through the other entry", CONFLICT, expectedCode = 4005) { book(entries[1]) },
    )

    private fun rejections(): List<DemoCase> = listOf(
        DemoCase("no key", UNAUTHORIZED, expectedCode = 1002, expectedText = "not run") {
            chat(entries[0], null, "ski-advice")
        },
        DemoCase("withdrawn key", UNAUTHORIZED, expectedCode = 1003, expectedText = "not run") {
            revokeKey(keys.revoked)
            chat(entries[0], keys.revoked, "ski-advice")
        },
        DemoCase("unknown route", NOT_FOUND, expectedCode = 1004) { chat(entries[0], keys.large, "no-such-route") },
        DemoCase("route of another account", FORBIDDEN, expectedCode = 1005) {
            chat(entries[0], keys.small, "roster-summary")
        },
        DemoCase("account over its rate", TOO_MANY_REQUESTS, expectedCode = 2001, expectedText = "not run") {
            repeat(2) { chat(entries[it], keys.small, "ski-advice") }
            chat(entries[0], keys.small, "ski-advice")
        },
    )

    private fun chat(entry: Address, key: String?, model: String, stream: Boolean = false): HttpReply {
        val message = """{"role":"user","content":"a lesson?"}"""
        val body = """{"model":"$model","messages":[$message],"max_tokens":64,"stream":$stream}"""
        return BlockingHttp.post(entry, "/v1/chat/completions", key, body)
    }

    private fun book(entry: Address): HttpReply =
        BlockingHttp.post(
            entry,
            "/services/bookings/lessons",
            keys.large,
            "{}",
            Header("Idempotency-Key", "demo-booking"),
        )

    private companion object {
        const val OK = 200
        const val UNAUTHORIZED = 401
        const val FORBIDDEN = 403
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val TOO_MANY_REQUESTS = 429
    }
}
