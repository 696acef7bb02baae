package org.ragwortbank.clients.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** What the decoder must refuse, and what it must not. */
class AnswerDecoderBoundsTest {
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

    private fun head(status: String, field: String) = "HTTP/1.1 $status\r\n$field\r\nContent-Length: 2\r\n\r\n"

    private fun isMalformed(text: String): Boolean =
        decode(text).let { (parts, hasThrown) -> hasThrown || parts.any { it.decoderResult().isFailure } }

    private fun soundHeads(text: String): Int =
        decode(text).first.count { it is HttpResponse && it.decoderResult().isSuccess }

    private fun decode(text: String): Pair<List<HttpObject>, Boolean> {
        val channel = EmbeddedChannel(AnswerDecoder(HttpMethod.GET))
        val hasThrown = runCatching { channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.ISO_8859_1)) }.isFailure
        return generateSequence { channel.readInbound<HttpObject>() }.toList() to hasThrown
    }

    private companion object {
        const val BODILESS_FAILURE = "HTTP/1.1 500 Some\r\nX-Request-Id: r\r\nContent-Length: 0\r\n\r\n"
    }
}
