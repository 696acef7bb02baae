package org.ragwortbank.clients.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class InterimAnswerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group, 2.seconds)

    @AfterTest
    fun stop() {
        group.shutdownGracefully()
    }

    private fun fetch(script: ScriptedConnection.() -> Unit): HttpReply =
        ScriptedServer(script).use { runBlocking { client.fetch(it.address, HttpCall.get("/"), TIMEOUT) } }

    // Guards against an interim answer that counts as the answer to the call.
    @Test
    fun `given interim answers before a failure, then the call is answered with the failure`() {
        val reply = fetch {
            readRequest()
            write("HTTP/1.1 100 Continue\r\n\r\n")
            writeLater("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
            write(answer("own", FAILURE))
            pause()
        }
        assertEquals(FAILURE, assertIs<HttpReply.Answered>(reply).status)
        assertEquals("own", reply.text)
    }

    @Test
    fun `given an interim answer and no other, then the call fails`() {
        val reply = fetch {
            readRequest()
            write("HTTP/1.1 100 Continue\r\n\r\n")
            pause()
        }
        assertIs<HttpReply.Failed>(reply)
    }

    @Test
    fun `given an answer that switches the protocol, then the call fails`() {
        val reply = fetch {
            readRequest()
            writeLater("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n")
        }
        assertIs<HttpReply.Failed>(reply)
    }

    @Test
    fun `given a body that ends with a reset of the connection, then the call fails`() {
        val reply = fetch {
            readRequest()
            write("HTTP/1.1 200 OK\r\n\r\nhalf of the bo")
            pause()
            reset()
        }
        assertIs<HttpReply.Failed>(reply)
    }

    @Test
    fun `given a body that ends with the connection, then the call is answered`() {
        val reply = fetch {
            readRequest()
            write("HTTP/1.1 200 OK\r\n\r\nthe whole body")
        }
        assertEquals("the whole body", assertIs<HttpReply.Answered>(reply).text)
    }

    private companion object {
        const val FAILURE = 503
        val TIMEOUT = 1_500.milliseconds
    }
}
