package org.ragwortbank.clients.http

import io.netty.buffer.ByteBuf
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** Judges one head after the other by [HeadGrammar], line by line as it arrives. */
internal class HeadScanner {
    private var lines: PersistentList<String> = persistentListOf()
    private var scannedBytes = 0

    /** Scans what is new in [buffer], which begins with the head, up to the end of that. */
    fun scan(buffer: ByteBuf): HeadScan {
        var line = nextLine(buffer)
        while (line != null && line != LINE_END) {
            lines = lines.add(line.removeSuffix(LINE_END))
            defectOf(line)?.let { return HeadScan.Malformed(it) }
            line = nextLine(buffer)
        }
        return if (line == null) incomplete(buffer) else complete()
    }

    private fun defectOf(line: String): HeadDefect? = when {
        line.endsWith(LINE_END) -> HeadGrammar.defectOfLine(lines.size, line.removeSuffix(LINE_END))
        else -> HeadDefect(lines.size, "CR and LF at its end", line)
    }

    /** The next line up to its LF; null while that is missing. */
    private fun nextLine(buffer: ByteBuf): String? {
        val start = buffer.readerIndex() + scannedBytes
        val end = buffer.indexOf(start, buffer.writerIndex(), NEWLINE)
        if (end < 0) return null
        scannedBytes = end + 1 - buffer.readerIndex()
        return buffer.toString(start, end - start, Charsets.ISO_8859_1)
    }

    private fun incomplete(buffer: ByteBuf): HeadScan {
        val isTooLong = buffer.readableBytes() > MAX_HEAD_BYTES
        val expected = "the end of the head within $MAX_HEAD_BYTES bytes"
        return if (isTooLong) HeadScan.Malformed(HeadDefect(lines.size + 1, expected, "")) else HeadScan.Incomplete
    }

    private fun complete(): HeadScan {
        val defect = if (lines.isEmpty()) HeadGrammar.defectOfLine(1, "") else HeadGrammar.defectOfLengths(lines)
        lines = persistentListOf()
        scannedBytes = 0
        return if (defect == null) HeadScan.Sound else HeadScan.Malformed(defect)
    }

    private companion object {
        const val MAX_HEAD_BYTES = 36_864
        const val LINE_END = "\r"
        const val NEWLINE = '\n'.code.toByte()
    }
}
