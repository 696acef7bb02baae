package org.ragwortbank.clients.http

import java.io.ByteArrayOutputStream

/** Cuts a stream of bytes into lines; used by one thread at a time. */
class LineBuffer {
    private val partialLine = ByteArrayOutputStream()

    /** Bytes of the line that is not complete yet. */
    val pendingBytes: Int get() = partialLine.size()

    /** Adds [bytes] and returns the lines that are now complete, without their line ends. */
    fun add(bytes: ByteArray): List<String> {
        if (NEWLINE !in bytes) {
            partialLine.write(bytes)
            return emptyList()
        }
        partialLine.write(bytes)
        val text = partialLine.toByteArray()
        val end = text.lastIndexOf(NEWLINE)
        partialLine.reset()
        partialLine.write(text, end + 1, text.size - end - 1)
        return text.decodeToString(0, end).split('\n').map { it.removeSuffix("\r") }
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
    }
}
