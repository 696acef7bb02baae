package org.ragwortbank.clients.http

import java.io.ByteArrayOutputStream

/** Cuts a stream of bytes into lines; used by one thread at a time. */
class LineBuffer {
    private val rest = ByteArrayOutputStream()

    /** Bytes of the line that is not complete yet. */
    val waiting: Int get() = rest.size()

    /** Adds [bytes] and returns the lines that are now complete, without their line ends. */
    fun add(bytes: ByteArray): List<String> {
        if (NEWLINE !in bytes) {
            rest.write(bytes)
            return emptyList()
        }
        rest.write(bytes)
        val text = rest.toByteArray()
        val end = text.lastIndexOf(NEWLINE)
        rest.reset()
        rest.write(text, end + 1, text.size - end - 1)
        return text.decodeToString(0, end).split('\n').map { it.removeSuffix("\r") }
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
    }
}
