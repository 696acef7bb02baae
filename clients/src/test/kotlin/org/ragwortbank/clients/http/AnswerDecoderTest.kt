package org.ragwortbank.clients.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** A faulty upstream may send bytes that are no answer where one is expected, or parts of two answers as one. */
class AnswerDecoderTest {
    // Guards against a failure that is lost in such bytes, so that a second answer counts.
    @Test
    fun `given blank or control characters before an answer, then it is not an answer`() =
        listOf("\r\n", " ", "\u0000", "\n\t").forEach { before ->
            assertIs<DecoderException>(decode(HttpMethod.GET, before + whole(200)).failure, before)
        }

    @Test
    fun `given blank characters between two answers, then the second is not an answer`() {
        assertIs<DecoderException>(decode(HttpMethod.GET, whole(200) + "\r\n" + whole(500)).failure)
    }

    @Test
    fun `given letters before the protocol version, then it is not an answer`() =
        listOf("H", "HT", "HTTP").forEach { before ->
            assertTrue(isMalformed(before + whole(200)), before)
        }

    // Guards against a head that is joined from the begun line of one answer and the rest of another one.
    @Test
    fun `given the beginning of one answer and another answer, then that is malformed`() {
        val first = "HTTP/1.1 200 OK\r\nX-Filler: a\r\n"
        val malformed = (1 until first.length).filter { isMalformed(first.take(it) + whole(500)) }
        assertEquals((1 until first.length).toList(), malformed)
    }

    // Guards against a body that is expected because an answer to another request was read before.
    @Test
    fun `given a second answer before the one to a HEAD request, then that has no body`() {
        val head = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
        assertEquals(listOf(103, 200, 200), statuses(HttpMethod.HEAD, "HTTP/1.1 103 Hints\r\n\r\n$head$head"))
    }

    @Test
    fun `given answers one after the other, split anywhere, then each is decoded`() {
        val text = whole(200) + whole(500)
        text.indices.forEach { at ->
            assertEquals(listOf(200, 500), statuses(HttpMethod.GET, text.take(at), text.drop(at)), "split at $at")
        }
    }

    // Guards against a sound answer that is refused: Via may name the protocol.
    @Test
    fun `given a sound answer whose field names the protocol, then it is not malformed`() =
        listOf("Via: HTTP/1.1 edge-1", "Location: /search?q=HTTP/1.1", "Upgrade: HTTP/1.1").forEach { field ->
            assertFalse(isMalformed(head("200 OK", field) + "ok"), field)
        }

    // Guards against the status of one answer with the fields of two.
    @Test
    fun `given a head cut at any line end, then the answer behind it is not joined to it`() {
        val lines = listOf("HTTP/1.1 200 OK\r\n", "X-Request-Id: r\r\n", "Content-Length: 2\r\n")
        val cuts = lines.indices.map { lines.take(it + 1).joinToString("") }
        val all = cuts + cuts.map { "$it\r" } + cuts.map { "$it " } + cuts.map { "$it\t" } + cuts.map { "$it:" }
        assertEquals(emptyList(), all.filterNot { isMalformed(it + head("500 Some", "X-Request-Id: r") + "ok") })
    }

    @Test
    fun `given versions in other cases, then no answer is read`() =
        listOf("http/1.1", "Http/1.1", "HTTP/1.2", "HTTP/2.0").forEach { version ->
            assertEquals(0, soundHeads("$version 200 OK\r\nContent-Length: 0\r\n\r\n"), version)
        }

    // Guards against a trailer that swallows the answer behind it.
    @Test
    fun `given a body in chunks cut at any byte of its end, then the answer behind it is not swallowed`() {
        val start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        val chunks = "2;e=1\r\nok\r\n0;f\r\nX-Sum: a\r\n"
        val cuts = (0..chunks.length).map { chunks.take(it) }
        val swallowed = cuts.filterNot { isMalformed(start + it + BODILESS_FAILURE) }
        assertEquals(emptyList(), swallowed)
    }

    private fun whole(status: Int) = head("$status Some", "X-Request-Id: r") + "ok"

    private fun head(status: String, field: String) = "HTTP/1.1 $status\r\n$field\r\nContent-Length: 2\r\n\r\n"

    private fun isMalformed(text: String): Boolean {
        val decoded = decode(HttpMethod.GET, text)
        return decoded.failure != null || decoded.parts.any { it.decoderResult().isFailure }
    }

    private fun soundHeads(text: String): Int =
        decode(HttpMethod.GET, text).parts.count { it is HttpResponse && it.decoderResult().isSuccess }

    private fun statuses(method: HttpMethod, vararg parts: String): List<Int> {
        val decoded = decode(method, *parts)
        assertEquals(null, decoded.failure)
        return decoded.parts.filterIsInstance<HttpResponse>().map { it.status().code() }
    }

    private fun decode(method: HttpMethod, vararg parts: String): Decoded {
        val channel = EmbeddedChannel(AnswerDecoder(method))
        val failure = runCatching {
            parts.filter { it.isNotEmpty() }
                .map { Unpooled.copiedBuffer(it, Charsets.ISO_8859_1) }
                .forEach { channel.writeInbound(it) }
        }.exceptionOrNull()
        return Decoded(generateSequence { channel.readInbound<HttpObject>() }.toList(), failure)
    }

    /** What was decoded until the end or [failure]. */
    private class Decoded(val parts: List<HttpObject>, val failure: Throwable?)

    private companion object {
        const val BODILESS_FAILURE = "HTTP/1.1 500 Some\r\nX-Request-Id: r\r\nContent-Length: 0\r\n\r\n"
    }
}
