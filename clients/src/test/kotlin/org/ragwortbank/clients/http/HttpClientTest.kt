package org.ragwortbank.clients.http

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.runBlocking
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class HttpClientTest {
    private val group = MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory())
    private val client = HttpClient(group, 2.seconds)
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val address = Address(server.inetAddress.hostAddress, server.localPort)

    @AfterTest
    fun stop() {
        server.close()
        group.shutdownGracefully()
    }

    /** Lets [answer] serve each connection on a thread of its own, until it returns or its connection is closed. */
    private fun serve(answer: (Socket) -> Unit) = thread(isDaemon = true) {
        val accepted = generateSequence { runCatching { server.accept() }.getOrNull() }
        accepted.forEach { socket -> thread(isDaemon = true) { runCatching { socket.use(answer) } } }
    }

    private fun Socket.readRequest() = check(getInputStream().read(ByteArray(REQUEST_BYTES)) > 0)

    private fun Socket.write(text: String) = getOutputStream().run {
        write(text.encodeToByteArray())
        flush()
    }

    private fun fetch(): HttpReply = runBlocking { client.fetch(address, HttpCall.get("/"), TIMEOUT) }

    /** Answers one request and closes the connection without a `Connection: close` field. */
    private fun answerOnce(socket: Socket) {
        socket.readRequest()
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    }

    @Test
    fun `given a server that closes kept-alive connections without notice, then no call waits for its time-out`() {
        serve(::answerOnce)
        val replies = generateSequence { fetch() }
        val failures = replies.take(CALLS).filterIsInstance<HttpReply.Failed>()
        val timedOut = failures.firstOrNull { "no answer within" in it.cause }
        assertEquals(null, timedOut, "a call was neither answered nor failed before its time-out")
    }

    @Test
    fun `given a reply whose body has no end, then the call fails early and its connection is closed`() {
        val written = AtomicLong()
        val block = "0".repeat(BLOCK_BYTES)
        serve { socket ->
            socket.readRequest()
            socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while (true) {
                socket.write("${BLOCK_BYTES.toString(16)}\r\n$block\r\n")
                written.addAndGet(BLOCK_BYTES.toLong())
            }
        }
        val reply = assertIs<HttpReply.Failed>(fetch())
        assertContains(reply.cause, "more than")
        assertTrue(reply.isTooLong)
        assertTrue(written.get() < MAX_WRITTEN_BYTES, "${written.get()} bytes were taken")
    }

    @Test
    fun `given a second copy of a reply between two calls, then the next call gets its own reply`() {
        val served = AtomicInteger()
        serve { socket ->
            while (true) {
                socket.readRequest()
                val text = "reply-${served.incrementAndGet()}"
                val reply = "HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n$text"
                socket.write(reply + reply)
            }
        }
        assertEquals("reply-1", assertIs<HttpReply.Answered>(fetch()).text)
        val later = generateSequence { fetch() }.filterIsInstance<HttpReply.Answered>().take(3).map { it.text }.toList()
        assertEquals(listOf("reply-2", "reply-3", "reply-4"), later)
    }

    // Guards against a reply whose head is cut and which still counts as a whole one.
    @Test
    fun `given a head that is cut anywhere, then the call fails`() {
        val cuts = AtomicInteger()
        val heads = listOf("Content-Length: 0", "Transfer-Encoding: chunked", "Connection: close")
            .map { "HTTP/1.1 200 OK\r\n$it\r\n\r\n" }
            .flatMap { head -> (0 until head.length).map { head.take(it) } }
        serve { socket ->
            socket.readRequest()
            socket.write(heads[cuts.getAndIncrement()])
        }
        heads.forEach { assertIs<HttpReply.Failed>(fetch(), "cut after '$it'") }
    }

    private companion object {
        const val BACKLOG = 50
        const val REQUEST_BYTES = 4_096
        const val CALLS = 2_000
        const val BLOCK_BYTES = 65_536
        const val MAX_WRITTEN_BYTES = 64_000_000L
        val TIMEOUT = 5.seconds
    }
}
