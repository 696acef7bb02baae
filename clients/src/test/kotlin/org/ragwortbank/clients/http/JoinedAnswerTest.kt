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

/** A faulty server may begin an answer and then send the whole one to the call that is under way. */
class JoinedAnswerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = HttpClient(group, 2.seconds)

    @AfterTest
    fun close() {
        client.close()
        group.shutdownGracefully()
    }

    // Guards against a failure that is read as a success, because its head is joined to the begun line of another.
    @Test
    fun `given a begun answer before a failure on a kept connection, then the call gets no success`() =
        assertEquals(emptyList(), listOf("HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nX-Fill: a").filter(::isSuccess))

    private fun isSuccess(before: String): Boolean =
        ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress()).use { server ->
            thread(isDaemon = true) { serve(server, before) }
            fetch(server)
            val reply = fetch(server)
            reply is HttpReply.Answered && reply.isSuccess
        }

    private fun fetch(server: ServerSocket): HttpReply {
        val address = Address(server.inetAddress.hostAddress, server.localPort)
        return runBlocking { client.fetch(address, HttpCall.get("/a"), 3.seconds) }
    }

    private fun serve(server: ServerSocket, before: String) {
        var text = answer("200 OK")
        val accepted = generateSequence { runCatching { server.accept() }.getOrNull() }
        accepted.forEach { connection ->
            while (connection.readRequest()) {
                connection.write(text)
                text = before + answer("500 Some")
            }
        }
    }

    private fun answer(status: String) = "HTTP/1.1 $status\r\nContent-Length: 2\r\n\r\nok"

    private fun Socket.readRequest(): Boolean =
        runCatching { getInputStream().read(ByteArray(READ_BUFFER_BYTES)) > 0 }.getOrDefault(false)

    private fun Socket.write(text: String) = getOutputStream().run {
        write(text.encodeToByteArray())
        flush()
    }

    private companion object {
        const val BACKLOG = 16
        const val READ_BUFFER_BYTES = 4_096
    }
}
