package org.ragwortbank.clients.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Sound events that quote the first line of an answer. */
class QuotingStreamTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group, 2.seconds)

    @AfterTest
    fun stop() {
        client.close()
        group.shutdownGracefully()
    }

    // Guards against generations about HTTP that are refused, where an engine ends its lines with CR and LF.
    @Test
    fun `given an event of two lines that quotes a status line, then the stream is read`() {
        val body = "data: {\"text\":\"HTTP/1.1 200 OK\"}\r\nid: 7\r\n\r\n"
        val answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: ${body.length}\r\n\r\n$body"
        val reply = ScriptedServer {
            readRequest()
            write(answer)
        }.use { server -> runBlocking { client.fetch(server.address, HttpCall.get("/"), 1.seconds) } }
        assertEquals(body, assertIs<HttpReply.Answered>(reply, "$reply").text)
    }
}
