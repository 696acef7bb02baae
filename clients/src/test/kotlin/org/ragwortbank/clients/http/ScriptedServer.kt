package org.ragwortbank.clients.http

import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Serves each connection with [script] on a thread of its own, until it returns or its connection is closed. */
internal class ScriptedServer(private val script: ScriptedConnection.() -> Unit) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val accepted = AtomicInteger()

    /** Where it listens. */
    val address: Address = Address(server.inetAddress.hostAddress, server.localPort)

    /** Number of connections that were opened to it. */
    val connections: Int get() = accepted.get()

    init {
        thread(isDaemon = true) {
            generateSequence { runCatching { server.accept() }.getOrNull() }.forEach(::serve)
        }
    }

    override fun close() = server.close()

    private fun serve(socket: Socket) {
        val connection = ScriptedConnection(socket, accepted.incrementAndGet())
        thread(isDaemon = true) { runCatching { socket.use { connection.script() } } }
    }

    private companion object {
        const val BACKLOG = 50
    }
}

/** A connection of a [ScriptedServer], the [number]th. */
internal class ScriptedConnection(private val socket: Socket, val number: Int) {
    /** Waits for the next request and returns its head. */
    fun readRequest(): String {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(readChar())
        val bodyLength = Regex("(?i)content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
        repeat(bodyLength) { readChar() }
        return head.toString()
    }

    private fun readChar(): Char = socket.getInputStream().read().also { check(it >= 0) }.toChar()

    /** Writes [text] at once. */
    fun write(text: String) = socket.getOutputStream().run {
        write(text.encodeToByteArray())
        flush()
    }

    /** Writes [text] after what was written before has been read. */
    fun writeLater(text: String) {
        pause()
        write(text)
        pause()
    }

    /** Gives the other side the time to read what was written. */
    fun pause() = Thread.sleep(PAUSE_MILLIS)

    /** Closes the connection with a reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    private companion object {
        const val PAUSE_MILLIS = 100L
    }
}

/** A complete answer of [status] with [body]. */
internal fun answer(body: String, status: Int = 200, vararg fields: String): String {
    val lines = listOf("HTTP/1.1 $status x", "Content-Length: ${body.length}") + fields
    return lines.joinToString("\r\n", postfix = "\r\n\r\n") + body
}
