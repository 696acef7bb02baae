package org.ragwortbank.clients.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.DecoderException
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** A faulty upstream may send bytes that are no answer where one is expected. */
class AnswerDecoderTest {
    // Guards against a failure that is lost in such bytes, so that a second answer counts.
    @Test
    fun `given blank or control characters before an answer, then it is not an answer`() =
        listOf("\r\n", " ", "\u0000", "\n\t").forEach { before ->
            assertFailsWith<DecoderException>(before) { decode(HttpMethod.GET, before + whole(200)) }
        }

    @Test
    fun `given blank characters between two answers, then the second is not an answer`() {
        assertFailsWith<DecoderException> { decode(HttpMethod.GET, whole(200) + "\r\n" + whole(500)) }
    }

    @Test
    fun `given letters before the protocol version, then it is not an answer`() =
        listOf("H", "HT", "HTTP").forEach { before ->
            assertTrue(isMalformed(HttpMethod.GET, before + whole(200)), before)
        }

    // Guards against a head that is joined from the begun line of one answer and the rest of another one.
    @Test
    fun `given the beginning of one answer and another answer, then that is malformed`() {
        val first = "HTTP/1.1 200 OK\r\nX-Filler: a\r\n"
        val malformed = (1 until first.length).filter { isMalformed(HttpMethod.GET, first.take(it) + whole(500)) }
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

    private fun whole(status: Int) = "HTTP/1.1 $status Some\r\nX-Request-Id: r\r\nContent-Length: 2\r\n\r\nok"

    private fun isMalformed(method: HttpMethod, text: String): Boolean =
        decode(method, text).any { it.decoderResult().isFailure }

    private fun statuses(method: HttpMethod, vararg parts: String): List<Int> =
        decode(method, *parts).filterIsInstance<HttpResponse>().map { it.status().code() }

    private fun decode(method: HttpMethod, vararg parts: String): List<HttpObject> {
        val channel = EmbeddedChannel(AnswerDecoder(method))
        parts.filter { it.isNotEmpty() }
            .map { Unpooled.copiedBuffer(it, Charsets.ISO_8859_1) }
            .forEach { channel.writeInbound(it) }
        return generateSequence { channel.readInbound<HttpObject>() }.toList()
    }
}
