package org.ragwortbank.clients.http

import java.io.ByteArrayOutputStream

/** Splits a stream of bytes into lines; not thread-safe. */
class LineBuffer {
    private val partialLine = ByteArrayOutputStream()

    /** Number of bytes of the incomplete last line. */
    val pendingBytes: Int get() = partialLine.size()

    /** Adds [bytes] and returns the lines that are now complete, without their line terminators. */
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
