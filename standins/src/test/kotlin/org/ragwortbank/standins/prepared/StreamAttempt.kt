package org.ragwortbank.standins.prepared

import org.ragwortbank.clients.http.Address
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

/**
 * What one request for a stream got.
 *
 * @property status status of the answer; null without one
 * @property events whole events with the versions that wrote them
 * @property isWhole whether the answer was completed
 */
data class StreamAttempt(val status: Int?, val events: List<Pair<Int, String>>, val isWhole: Boolean) {
    companion object {
        private const val CONNECT_MILLIS = 500
        private const val READ_MILLIS = 4_000
        private const val BUFFER_BYTES = 8_192
        private const val HEX_RADIX = 16
        private const val HEAD_END = "\r\n\r\n"
        private const val LINE_END = "\r\n"
        private val eventForm = Regex("id: (\\d+)\ndata: (\\S+) piece\n\n")
        private val lengthForm = Regex("(?i)\r\ncontent-length: *(\\d+)")

        /** Requests [path] with the header lines [fields] at [gateway] and reads until the connection ends. */
        fun send(gateway: Address, path: String, fields: List<String>): StreamAttempt {
            val lines = listOf("GET $path HTTP/1.1") + fields + "Connection: close"
            return parse(exchange(gateway, lines.joinToString(LINE_END, postfix = HEAD_END)))
        }

        private fun exchange(gateway: Address, request: String): String {
            val received = ByteArrayOutputStream()
            try {
                Socket().use { socket ->
                    socket.soTimeout = READ_MILLIS
                    socket.connect(InetSocketAddress(gateway.host, gateway.port), CONNECT_MILLIS)
                    socket.getOutputStream().write(request.encodeToByteArray())
                    val buffer = ByteArray(BUFFER_BYTES)
                    generateSequence { socket.getInputStream().read(buffer).takeIf { it > 0 } }
                        .forEach { received.write(buffer, 0, it) }
                }
            } catch (_: IOException) {
                return received.toString(Charsets.ISO_8859_1)
            }
            return received.toString(Charsets.ISO_8859_1)
        }

        private fun parse(text: String): StreamAttempt {
            if (HEAD_END !in text) return StreamAttempt(null, emptyList(), isWhole = false)
            val head = text.substringBefore(HEAD_END)
            val rest = text.substringAfter(HEAD_END)
            val length = lengthForm.find(head)?.groupValues?.get(1)?.toInt()
            val (body, isWhole) = if (length == null) joinChunks(rest) else rest to (rest.length == length)
            val events = eventForm.findAll(body).map { it.groupValues[1].toInt() to it.groupValues[2] }.toList()
            return StreamAttempt(head.split(' ')[1].toInt(), events, isWhole)
        }

        /** The data in [text], and whether the last chunk is there. */
        private fun joinChunks(text: String): Pair<String, Boolean> {
            val chunks = generateSequence(nextChunk(text)) { (_, rest) -> nextChunk(rest) }.toList()
            val isWhole = chunks.any { it.first.isEmpty() }
            return chunks.joinToString("") { it.first } to isWhole
        }

        /** The data of the first chunk in [text], as far as it is there, and what follows; null if there is none. */
        private fun nextChunk(text: String): Pair<String, String>? {
            val size = text.substringBefore(LINE_END, "").toIntOrNull(HEX_RADIX) ?: return null
            val data = text.substringAfter(LINE_END)
            return data.take(size) to data.drop(size + LINE_END.length)
        }
    }
}
