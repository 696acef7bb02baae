package org.ragwortbank.clients.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import kotlin.test.Test
import kotlin.test.assertEquals

/** What a faulty upstream sends in place of the head of an answer is not read as one, whatever is sound in it. */
class MalformedHeadTest {
    // Guards against an answer with a status that no answer has, such as 000.
    @Test
    fun `given a status outside 100 to 599 or not of three digits, then there is no answer`() =
        assertNoneRead(
            listOf("000", "001", "099", "600", "999", "20", "2000", "-20", "+20", "2x0", "", " 200", "200OK")
                .map { "HTTP/1.1 $it Some\r\n$LENGTH\r\nok" },
        )

    @Test
    fun `given control characters in the status line, then there is no answer`() =
        assertNoneRead(CONTROLS.map { "HTTP/1.1 200 O${it}K\r\n$LENGTH\r\nok" })

    // Guards against a field that counts under the part of its name before a blank, and against a wrong length.
    @Test
    fun `given a blank or a control character in the name of a field, then there is no answer`() =
        assertNoneRead(
            (CONTROLS + " " + "\t").flatMap { odd ->
                listOf("X${odd}Note", "X-Note$odd", "${odd}X-Note", "Content${odd}Length", "Content-Length$odd")
            }.map { withField("$it: 1") },
        )

    @Test
    fun `given a field without a name or a colon, then there is no answer`() =
        assertNoneRead(listOf(": a", "X-Note", "X-N\u00E4me: a", "X(Note): a", "\"X\": a").map(::withField))

    @Test
    fun `given control characters in the value of a field, then there is no answer`() =
        assertNoneRead(CONTROLS.map { withField("X-Note: a${it}b") })

    @Test
    fun `given lengths that are none or that contradict each other, then there is no answer`() =
        assertNoneRead(
            listOf("x", "", "-1", "+2", "2, 2", "2 2", "0x2", "99999999999999999999")
                .map { "HTTP/1.1 200 OK\r\nContent-Length: $it\r\n\r\nok" } +
                listOf("Content-Length: 2", "Content-Length: 3", "Transfer-Encoding: chunked").map(::withField) +
                listOf("gzip, chunked", "identity", "x").map { "HTTP/1.1 200 OK\r\nTransfer-Encoding: $it\r\n\r\nok" },
        )

    @Test
    fun `given a line that ends without CR, then there is no answer`() =
        assertNoneRead(
            listOf(
                "HTTP/1.1 200 OK\n$LENGTH\r\nok",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\n\r\nok",
                "HTTP/1.1 200 OK\r\n$LENGTH\nok",
            ),
        )

    // Guards against a part of a head that counts before the rest of it is known.
    @Test
    fun `given a malformed head that arrives byte by byte, then there is no answer`() =
        assertEquals(emptyList(), heads(withField("X Note: a").map { it.toString() }))

    // Guards against a sound answer that is refused.
    @Test
    fun `given heads that the grammar allows, then each is read, whole or byte by byte`() {
        val names = listOf("x-empty:", "X!#$%&'*+-.^_`|~9: a")
        val values = listOf("X-Tab:\ta\tb", "X-High: \u00E4\u00FF", "X-Colon: a:b: c", "X-Wide:   a   ")
        val sound = (names + values).map(::withField) + listOf(
            "HTTP/1.1 200\r\n$LENGTH\r\nok",
            "HTTP/1.1 200 \r\n$LENGTH\r\nok",
            "HTTP/1.0 599 Caf\u00E9 (a)\r\n$LENGTH\r\nok",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\nok",
        )
        val refused = sound.filterNot { text ->
            heads(listOf(text)).size == 1 && heads(text.map { it.toString() }).size == 1
        }
        assertEquals(emptyList(), refused)
    }

    private fun withField(field: String) = "HTTP/1.1 200 OK\r\n$field\r\n$LENGTH\r\nok"

    private fun assertNoneRead(answers: List<String>) =
        assertEquals(emptyList(), answers.filter { heads(listOf(it)).isNotEmpty() })

    /** The statuses of the heads that are read from [parts], one after the other, until something is malformed. */
    private fun heads(parts: List<String>): List<Int> {
        val channel = EmbeddedChannel(AnswerDecoder(HttpMethod.GET))
        runCatching {
            parts.forEach { channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.ISO_8859_1)) }
        }
        return generateSequence { channel.readInbound<HttpObject>() }
            .takeWhile { it.decoderResult().isSuccess }
            .filterIsInstance<HttpResponse>()
            .map { it.status().code() }
            .toList()
    }

    private companion object {
        const val LENGTH = "Content-Length: 2\r\n"
        val CONTROLS = listOf("\u0000", "\u0001", "\u000B", "\u000C", "\u001F", "\u007F", "\r")
    }
}
