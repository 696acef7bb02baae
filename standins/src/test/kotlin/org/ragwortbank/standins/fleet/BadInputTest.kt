package org.ragwortbank.standins.fleet

import org.junit.jupiter.api.AfterAll
import org.ragwortbank.clients.http.Address
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class BadInputTest {
    private val entry = fleet.processes.httpAddresses[0]

    private fun post(body: String): String =
        TestFleet.textOf(BlockingHttp.post(entry, "/v1/chat/completions", fleet.key, body))

    /** Sends [text] unchanged on a new connection and reads until the server closes it. */
    private fun sendRaw(address: Address, text: String): String =
        Socket(address.host, address.port).use { socket ->
            socket.soTimeout = 20_000
            socket.getOutputStream().write(text.encodeToByteArray())
            socket.getOutputStream().flush()
            socket.getInputStream().readAllBytes().decodeToString()
        }

    private fun assertStillServing() = assertTrue(fleet.isServing(fleet.processes.entries[0]))

    @Test
    fun `given malformed JSON, then the error says what was expected and that nothing ran`() {
        val text = post("{\"model\":")
        assertContains(text, "\"code\":1001")
        assertContains(text, "not run")
        assertContains(text, "expected an object")
    }

    @Test
    fun `given wrong fields, then the error names the field, what was found and what was expected`() {
        assertContains(post("""{"model":"ski-advice","messages":[]}"""), "messages: found [], expected a list")
        assertContains(post("""{"model":"ski-advice","messages":[{"content":"x"}],"n":3}"""), "n: found 3, expected 1")
    }

    @Test
    fun `given a missing or unknown key and an invalid body, then the error is about the key`() {
        val body = """{"model":"ski-advice","messages":[]}"""
        val unknown = TestFleet.textOf(BlockingHttp.post(entry, "/v1/chat/completions", "rwb_unknown", body))
        assertContains(unknown, "\"code\":1003")
        val requestHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        val text = sendRaw(entry, requestHead + "Content-Length: ${body.length}\r\n\r\n$body")
        assertContains(text, "\"code\":1002")
        assertContains(text, "401 Unauthorized")
    }

    @Test
    fun `given a body above the limit, then it is rejected before it has been read completely`() {
        assertContains(post("x".repeat(20_000)), "\"code\":1006")
        assertStillServing()
    }

    @Test
    fun `given headers above the limit, then they are rejected`() {
        val text = sendRaw(entry, "GET /v1/models HTTP/1.1\r\nHost: x\r\nX-Long: ${"y".repeat(20_000)}\r\n\r\n")
        assertContains(text, "\"code\":1007")
        assertStillServing()
    }

    @Test
    fun `given bytes that are not HTTP, then an error is sent and the connection is closed`() {
        assertContains(sendRaw(entry, "\u0001\u0002garbage\r\n\r\n"), "\"code\":1001")
        assertStillServing()
    }

    @Test
    fun `given a client that stops in the middle of a body, then the connection is closed after receive_timeout`() {
        val text = sendRaw(entry, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n{\"model\"")
        assertContains(text, "\"code\":1008")
        assertStillServing()
    }

    @Test
    fun `given bytes from unidentified peers on peer ports, then the connections are closed and counted`() {
        val ports = listOf(fleet.processes.entries[0], fleet.sidecarOf("engine-1")).map { it.address("peer") }
        ports.forEach { assertEquals("", sendRaw(it, "\u0000\u0000\u0000\u0004junk")) }
        ports.forEach { assertEquals("", sendRaw(it, "\u007f\u007f\u007f\u007f")) }
        val metrics = TestFleet.textOf(BlockingHttp.get(fleet.processes.entries[0].address("admin"), "/metrics"))
        assertContains(metrics, "ragwortbank_bad_input_total{kind=\"stranger\"} 2")
        assertStillServing()
    }

    @Test
    fun `given two pipelined requests on one connection, then both get a response`() {
        val request = "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${fleet.key}\r\n"
        val text = sendRaw(entry, "$request\r\n${request}Connection: close\r\n\r\n")
        assertEquals(2, Regex("\"data\":\\[\\{\"id\":\"roster-summary\"").findAll(text).count())
    }

    private companion object {
        const val SETTINGS = "[http]\nmax_body_bytes = 16384\nreceive_timeout = \"500ms\""
        val fleet = TestFleet(FleetPlan(entries = 1, engines = 1, entrySettings = SETTINGS))

        @AfterAll
        @JvmStatic
        fun stop() = fleet.close()
    }
}
