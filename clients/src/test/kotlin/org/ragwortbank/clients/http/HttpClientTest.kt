package org.ragwortbank.clients.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class HttpClientTest {
    private val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val client = HttpClient(group, 2.seconds)
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val acceptor = thread(isDaemon = true) {
        val accepted = generateSequence { runCatching { server.accept() }.getOrNull() }
        accepted.forEach { thread(isDaemon = true) { answerOnce(it) } }
    }

    @AfterTest
    fun stop() {
        server.close()
        acceptor.join()
        group.shutdownGracefully()
    }

    /** Answers one request and closes the connection without a `Connection: close` field. */
    private fun answerOnce(socket: Socket) = socket.use {
        it.getInputStream().read(ByteArray(REQUEST_BYTES))
        it.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".encodeToByteArray())
    }

    @Test
    fun `given a server that closes kept-alive connections without notice, then no call waits for its time-out`() {
        val address = Address(server.inetAddress.hostAddress, server.localPort)
        val replies = generateSequence { runBlocking { client.fetch(address, HttpCall.get("/"), 2.seconds) } }
        val failures = replies.take(CALLS).filterIsInstance<HttpReply.Failed>()
        val timedOut = failures.firstOrNull { "no answer within" in it.cause }
        assertEquals(null, timedOut, "a call was neither answered nor failed before its time-out")
    }

    private companion object {
        const val BACKLOG = 50
        const val REQUEST_BYTES = 4_096
        const val CALLS = 2_000
    }
}
