package org.ragwortbank.clients.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** What follows an answer whose end isn't seen passes for a part of its body. */
class AnswerInBodyTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group, 2.seconds)

    @AfterTest
    fun stop() {
        client.close()
        group.shutdownGracefully()
    }

    // Guards against a reply to the store's or an engine's client that is joined from two answers.
    @Test
    fun `given a second answer behind a body without a length, then the call fails`() {
        assertIs<HttpReply.Failed>(replyTo("$HEAD\r\n$BODY$SECOND"))
        assertIs<HttpReply.Failed>(replyTo("$HEAD\r\n$BODY${SECOND.take(SECOND.length / 2)}"))
    }

    @Test
    fun `given a body that a second answer makes up to its length, then the call fails`() =
        BODY.indices.forEach { cut ->
            val reply = replyTo("${HEAD}Content-Length: ${BODY.length}\r\n\r\n${BODY.take(cut)}$SECOND")
            assertIs<HttpReply.Failed>(reply, "cut at $cut")
        }

    @Test
    fun `given a whole body, then it is read, whatever follows it`() {
        assertEquals(BODY, assertIs<HttpReply.Answered>(replyTo("$HEAD\r\n$BODY")).text)
        val framed = "${HEAD}Content-Length: ${BODY.length}\r\n\r\n$BODY"
        assertEquals(BODY, assertIs<HttpReply.Answered>(replyTo("$framed$SECOND")).text)
    }

    private fun replyTo(answer: String): HttpReply = ScriptedServer {
        readRequest()
        write(answer)
    }.use { server -> runBlocking { client.fetch(server.address, HttpCall.get("/"), TIMEOUT) } }

    private companion object {
        const val HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        const val BODY = """{"quote":"HTTP/1.1 200 OK"}"""
        const val SECOND = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        val TIMEOUT = 1.seconds
    }
}
