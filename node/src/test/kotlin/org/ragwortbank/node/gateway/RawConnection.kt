package org.ragwortbank.node.gateway

import java.io.BufferedInputStream
import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException

/**
 * One HTTP message as it arrived on a connection.
 *
 * @property isWhole whether its framing says that nothing is missing
 */
internal data class RawMessage(
    val startLine: String,
    val fields: Map<String, String>,
    val body: String,
    val isWhole: Boolean,
) {
    val status: Int get() = startLine.split(' ')[1].toInt()
}

/** One end of a connection over which a test writes bytes as they are and reads messages without a library. */
internal class RawConnection(private val socket: Socket) : AutoCloseable {
    private val input = BufferedInputStream(socket.getInputStream())

    /** Whether reading has failed because the other end reset the connection. */
    var isReset = false
        private set

    init {
        socket.tcpNoDelay = true
        socket.soTimeout = READ_TIMEOUT_MILLIS
    }

    fun write(text: String) = socket.getOutputStream().run {
        write(text.encodeToByteArray())
        flush()
    }

    /** Writes [text] unless the other end has closed the connection. */
    fun writeIfOpen(text: String) {
        try {
            write(text)
        } catch (_: IOException) {
            socket.close()
        }
    }

    /** Writes [text] in two parts that the other end reads one after the other. */
    fun writeSplit(text: String, at: Int) {
        write(text.take(at))
        Thread.sleep(SPLIT_MILLIS)
        write(text.drop(at))
    }

    fun get(id: String, path: String = "/a", fields: String = "") =
        write("GET $path HTTP/1.1\r\nHost: host\r\nX-Request-Id: $id\r\n$fields\r\n")

    /** Reads the next message; null when the connection has ended before its first byte. */
    fun read(hasNoBody: Boolean = false): RawMessage? {
        val startLine = readLine()?.ifEmpty { null } ?: return null
        val lines = generateSequence { readLine()?.ifEmpty { null } }.toList()
        val fields = lines.associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        val length = fields["content-length"]?.toInt()
        return when {
            hasNoBody -> RawMessage(startLine, fields, "", isWhole = true)
            fields["transfer-encoding"] == "chunked" -> readChunks(RawMessage(startLine, fields, "", isWhole = false))
            length != null -> readBytes(length).let { RawMessage(startLine, fields, it, it.length == length) }
            startLine.startsWith("HTTP/") -> RawMessage(startLine, fields, readRest(), isWhole = true)
            else -> RawMessage(startLine, fields, "", isWhole = true)
        }
    }

    /** Reads until the connection ends, whatever arrives. */
    fun readRest(): String = readBytes(Int.MAX_VALUE)

    /** Reads up to [count] bytes as they are; -1 when the connection has ended. */
    fun readSome(count: Int): Int =
        try {
            input.read(ByteArray(count))
        } catch (_: IOException) {
            isReset = true
            -1
        }

    /** Ends the connection with a reset. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    override fun close() = socket.close()

    private tailrec fun readChunks(message: RawMessage): RawMessage =
        when (val size = readLine()?.toIntOrNull(radix = 16)) {
            null -> message
            0 -> message.copy(isWhole = readLine() == "")
            else -> readChunks(message.copy(body = message.body + readChunk(size)))
        }

    private fun readChunk(size: Int): String {
        val chunk = readBytes(size)
        readLine()
        return chunk
    }

    private fun readLine(): String? {
        val line = StringBuilder()
        var byte = readByte()
        if (byte < 0) return null
        while (byte >= 0 && byte != '\n'.code) {
            line.append(byte.toChar())
            byte = readByte()
        }
        return line.toString().removeSuffix("\r")
    }

    private fun readBytes(count: Int): String {
        val bytes = StringBuilder()
        var byte = if (count > 0) readByte() else -1
        while (byte >= 0) {
            bytes.append(byte.toChar())
            byte = if (bytes.length < count) readByte() else -1
        }
        return bytes.toString()
    }

    private fun readByte(): Int =
        try {
            input.read()
        } catch (_: SocketTimeoutException) {
            -1
        } catch (_: IOException) {
            isReset = true
            -1
        }

    private companion object {
        const val READ_TIMEOUT_MILLIS = 8_000
        const val SPLIT_MILLIS = 4L
    }
}
