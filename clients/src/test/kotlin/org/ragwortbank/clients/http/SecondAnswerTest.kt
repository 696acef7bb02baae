package org.ragwortbank.clients.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Guards against an answer that is taken for the answer to another call, because it comes when that is expected. */
class SecondAnswerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group, 2.seconds)

    @AfterTest
    fun stop() {
        group.shutdownGracefully()
    }

    private fun fetch(server: ScriptedServer, call: HttpCall = HttpCall.get("/")): HttpReply =
        runBlocking { client.fetch(server.address, call, TIMEOUT) }

    private fun assertSecondCallIsAnsweredOnNewConnection(server: ScriptedServer) = server.use {
        assertEquals("first", assertIs<HttpReply.Answered>(fetch(server)).text)
        Thread.sleep(IDLE_MILLIS)
        val second = assertIs<HttpReply.Answered>(fetch(server))
        assertEquals("second", second.text)
        assertEquals(FAILURE, second.status)
        assertEquals(2, server.connections, "the connection with bytes that nobody asked for was used again")
    }

    private fun ScriptedConnection.answerFailures() = generateSequence { readRequest() }.forEach { _ ->
        write(answer("second", FAILURE))
    }

    @Test
    fun `given a second answer while the connection idles, then the connection is not used again`() =
        assertSecondCallIsAnsweredOnNewConnection(
            ScriptedServer {
                if (number == 1) {
                    readRequest()
                    write(answer("first"))
                    writeLater(answer("stray"))
                }
                answerFailures()
            },
        )

    @Test
    fun `given a part of a head while the connection idles, then a failure is not read as a success`() =
        assertSecondCallIsAnsweredOnNewConnection(
            ScriptedServer {
                if (number == 1) {
                    readRequest()
                    write(answer("first"))
                    writeLater("HTTP/1.1 200 OK\r\nX-Cut: ")
                }
                answerFailures()
            },
        )

    @Test
    fun `given a second answer in the same write, then the connection is not used again`() =
        assertSecondCallIsAnsweredOnNewConnection(
            ScriptedServer {
                if (number == 1) {
                    readRequest()
                    write(answer("first") + answer("stray"))
                }
                answerFailures()
            },
        )

    @Test
    fun `given a part of a head in the same write, then a failure is not read as a success`() =
        assertSecondCallIsAnsweredOnNewConnection(
            ScriptedServer {
                if (number == 1) {
                    readRequest()
                    write(answer("first") + "HTTP/1.1 200 OK\r\nX-Cut: ")
                }
                answerFailures()
            },
        )

    @Test
    fun `given blank lines behind an answer, then the connection is not used again`() =
        assertSecondCallIsAnsweredOnNewConnection(
            ScriptedServer {
                if (number == 1) {
                    readRequest()
                    write(answer("first") + "\r\n\r\n")
                }
                answerFailures()
            },
        )

    @Test
    fun `given clean answers, then the connection is kept`() {
        val server = ScriptedServer { generateSequence { readRequest() }.forEach { _ -> write(answer("clean")) } }
        server.use {
            repeat(CALLS) { assertEquals("clean", assertIs<HttpReply.Answered>(fetch(server)).text) }
            assertEquals(1, server.connections)
        }
    }

    private companion object {
        const val FAILURE = 503
        const val IDLE_MILLIS = 200L
        const val CALLS = 5
        val TIMEOUT = 3.seconds
    }
}
