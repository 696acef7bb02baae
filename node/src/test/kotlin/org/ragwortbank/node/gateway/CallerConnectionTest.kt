package org.ragwortbank.node.gateway

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Each answer on a caller's connection is that of the request that waits there, and is the whole of it. */
class CallerConnectionTest {
    private val rig = GatewayRig()

    @AfterTest
    fun stop() = rig.close()

    // Guards against answers that overtake each other on the caller's connection.
    @Test
    fun `given two pipelined requests, then they are answered in their order`() = rig.connect().use { caller ->
        caller.write(request("r1") + request("r2"))
        val first = rig.nextUpstream().also { it.read() }
        first.write(answer(200, "r1", "one"))
        assertEquals("one", caller.read()?.body)
        assertEquals("r2", first.read()?.fields?.get("x-request-id"))
        first.write(answer(200, "r2", "two"))
        assertEquals("two", caller.read()?.body)
    }

    // Guards against an answer to some later request when a caller sends more than is held for it.
    @Test
    fun `given more pipelined requests than are held, then the connection is closed without a wrong answer`() =
        rig.connect().use { caller ->
            caller.write(request("r1"))
            val upstream = rig.nextUpstream().also { it.read() }
            caller.write((2..TOO_MANY).joinToString("") { request("r$it") })
            upstream.write(answer(200, "r1", "one"))
            val received = caller.readRest()
            assertFalse("r2" in received, received)
        }

    // Guards against the refusal of a malformed request in place of the answer to the one before.
    @Test
    fun `given a malformed request behind a good one, then both get their own answer`() = rig.connect().use { caller ->
        caller.write(request("r1") + "bad request\r\n\r\n")
        val upstream = rig.nextUpstream().also { it.read() }
        upstream.write(answer(200, "r1", "one"))
        assertEquals("one", caller.read()?.body)
        assertEquals(400, caller.read()?.status)
        assertNull(caller.read())
    }

    // Guards against the late answer of an expired request that the next request's caller gets.
    @Test
    fun `given a request that has expired, when its answer comes, then the next request gets its own answer`() =
        rig.connect().use { caller ->
            caller.get("r1", "/once/a", "X-Timeout-Ms: 100\r\n")
            val late = rig.nextUpstream().also { it.read() }
            assertEquals(504, caller.read()?.status)
            late.writeIfOpen(answer(200, "r1", "late"))
            caller.get("r2", "/once/a")
            val next = rig.nextUpstream().also { it.read() }
            next.write(answer(404, "r2", "two"))
            val received = caller.read()
            assertEquals(404 to "two", received?.status to received?.body)
        }

    // Guards against an answer on a connection that waits for none.
    @Test
    fun `given a caller that has gone, when its answer comes, then the upstream's next request gets its own`() {
        val upstream = rig.connect().use { caller ->
            caller.get("r1", "/once/a")
            rig.nextUpstream().also { it.read() }
        }
        upstream.write(answer(200, "r1", "one"))
        Thread.sleep(DELIVERY_MILLIS)
        rig.connect().use { caller ->
            caller.get("r2", "/once/a")
            upstream.read()
            upstream.write(answer(404, "r2", "two"))
            assertEquals("two", caller.read()?.body)
        }
    }

    // Guards against an answer that is cut off while the process stops, or a success after the last one.
    @Test
    fun `given a gateway that stops, when an answer is under way, then it is whole and the connection ends`() =
        rig.connect().use { caller ->
            caller.write(request("r1") + request("r2"))
            val upstream = rig.nextUpstream().also { it.read() }
            rig.stop()
            rig.closeIdle()
            upstream.write(answer(200, "r1", "one"))
            val received = caller.read()
            assertEquals("one" to "close", received?.body to received?.fields?.get("connection"))
            assertNull(caller.read())
        }

    @Test
    fun `given a request with Connection close, then its answer is whole and the connection ends`() =
        rig.connect().use { caller ->
            caller.get("r1", fields = "Connection: close\r\n")
            rig.nextUpstream().also { it.read() }.write(answer(200, "r1", "one"))
            assertEquals("one", caller.read()?.body)
            assertNull(caller.read())
        }

    @Test
    fun `given a caller of HTTP 1 0, then its answer is whole and the connection ends`() = rig.connect().use { caller ->
        caller.write("GET /a HTTP/1.0\r\nHost: host\r\nX-Request-Id: r1\r\n\r\n")
        rig.nextUpstream().also { it.read() }.write(answer(200, "r1", "one"))
        assertEquals("one", caller.read()?.body)
        assertNull(caller.read())
    }

    // Guards against the framing of chunks in the body of a caller that doesn't know chunks.
    @Test
    fun `given a caller of HTTP 1 0, when a stream is relayed, then its body holds the stream alone`() =
        rig.connect().use { caller ->
            caller.write("GET /a HTTP/1.0\r\nHost: host\r\nX-Request-Id: r1\r\n\r\n")
            val upstream = rig.nextUpstream().also { it.read() }
            upstream.write(STREAM_HEAD + "id: 1\n\n")
            upstream.close()
            assertEquals("id: 1\n\n", caller.readRest().substringAfter("\r\n\r\n"))
        }

    // Guards against a caller that waits for the end of a body whose length it can't know.
    @Test
    fun `given a caller of HTTP 1 0 that keeps its connection, when a stream is relayed, then it ends with it`() =
        rig.connect().use { caller ->
            caller.write("GET /a HTTP/1.0\r\nHost: host\r\nX-Request-Id: r1\r\nConnection: keep-alive\r\n\r\n")
            val upstream = rig.nextUpstream().also { it.read() }
            upstream.write(STREAM_HEAD + "id: 1\n\n")
            upstream.close()
            val received = caller.read()
            assertEquals("id: 1\n\n" to "close", received?.body to received?.fields?.get("connection"))
            assertNull(caller.read())
        }

    // Guards against an answer that passes for whole because its connection ends in the usual way.
    @Test
    fun `given a caller of HTTP 1 0, when its stream ends early, then its connection is reset`() =
        rig.connect().use { caller ->
            caller.write("GET /once/a HTTP/1.0\r\nHost: host\r\nX-Request-Id: r1\r\nX-Timeout-Ms: 200\r\n\r\n")
            rig.nextUpstream().also { it.read() }.write(STREAM_HEAD + "id: 1\n\n")
            caller.readRest()
            assertTrue(caller.isReset)
        }

    // Guards against a body that a caller doesn't expect and takes for its next answer.
    @Test
    fun `given a HEAD request, then the next answer on its connection is that of the next request`() =
        rig.connect().use { caller ->
            caller.write("HEAD /a HTTP/1.1\r\nHost: host\r\nX-Request-Id: r1\r\n\r\n")
            val upstream = rig.nextUpstream().also { it.read() }
            upstream.write("HTTP/1.1 200 Some\r\nX-Request-Id: r1\r\nContent-Length: 5\r\n\r\n")
            assertEquals(200, caller.read(hasNoBody = true)?.status)
            caller.get("r2")
            upstream.read()
            upstream.write(answer(200, "r2", "two"))
            assertEquals("two", caller.read()?.body)
        }

    // Guards against a wait that has ended and whose request's answer is written behind the refusal.
    @Test
    fun `given an expired request, when its stream goes on, then the caller gets the refusal and its next answer`() =
        rig.connect().use { caller ->
            caller.get("r1", "/once/a", "X-Timeout-Ms: 100\r\n")
            val late = rig.nextUpstream().also { it.read() }
            assertEquals(504, caller.read()?.status)
            late.writeIfOpen(STREAM_HEAD + "id: 1\n\n")
            caller.write("bad request\r\n\r\n")
            assertEquals(400, caller.read()?.status)
            assertEquals("", caller.readRest())
        }

    // Guards against an answer that passes for whole although its time has ended in the middle.
    @Test
    fun `given an answer under way, when its time is over, then it ends early and doesn't look complete`() =
        rig.connect().use { caller ->
            caller.get("r1", "/once/a", "X-Timeout-Ms: 200\r\n")
            val upstream = rig.nextUpstream().also { it.read() }
            upstream.write(STREAM_HEAD + "id: 1\n\n")
            val received = caller.read()
            assertEquals("id: 1\n\n", received?.body)
            assertEquals(false, received?.isWhole)
        }

    private fun request(id: String) = "GET /once/a HTTP/1.1\r\nHost: host\r\nX-Request-Id: $id\r\n\r\n"

    private fun answer(status: Int, id: String, body: String) =
        "HTTP/1.1 $status Some\r\nX-Request-Id: $id\r\nContent-Length: ${body.length}\r\n\r\n$body"

    private companion object {
        const val TOO_MANY = 60
        const val DELIVERY_MILLIS = 100L
        const val STREAM_HEAD = "HTTP/1.1 200 Some\r\nX-Request-Id: r1\r\nContent-Type: text/event-stream\r\n\r\n"
    }
}
