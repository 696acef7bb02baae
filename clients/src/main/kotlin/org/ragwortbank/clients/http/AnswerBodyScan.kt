package org.ragwortbank.clients.http

import io.netty.buffer.ByteBuf

/**
 * Looks for another answer inside the body of one. If an upstream sends less of a body than its length says, or a body
 * that ends with its connection, what it sends next passes for a part of that body.
 *
 * A body may quote any text, also a status line. Only fields that no quotation has, in a head that begins there, tell
 * an answer from one.
 *
 * @property endsWithConnection whether the body has neither a length nor chunks
 * @property isMark whether a line of a head is a field that no quotation has
 */
class AnswerBodyScan(private val endsWithConnection: Boolean, private val isMark: (String) -> Boolean) {
    private var kept = ""

    /** A part of the body was received; returns why it can't be one, or null. */
    fun onContent(content: ByteBuf): String? {
        val text = kept + content.toString(Charsets.ISO_8859_1)
        val heads = statusLines(text)
        kept = heads.firstOrNull()?.let { text.substring(maxOf(it.first, text.length - MAX_HEAD_LENGTH)) }
            ?: text.takeLast(STATUS_LINE_LENGTH - 1)
        return if (heads.any { isHead(text, it) }) JOINED_BODY else null
    }

    /**
     * The body has ended, and [rest] had arrived behind it: empty, or the beginning of what belongs to no answer.
     * Returns why the body can't be whole, or null.
     */
    fun onEnd(rest: String): String? {
        val text = kept + rest
        val begun = statusLines(text).filter { it.first < kept.length }
        val isCut = begun.any { it.last >= kept.length || isHead(text, it) }
        val isInsideHead = endsWithConnection && begun.any { isBegunHead(text.substring(it.last + 1)) }
        return if (isCut || isInsideHead) JOINED_BODY else null
    }

    /** Whether [rest], which follows a status line to the end of the body, ends inside the head. */
    private fun isBegunHead(rest: String): Boolean {
        val lines = rest.split(LINE_END)
        val fields = lines.drop(1).dropLast(1)
        return '\r' in rest && HEAD_END !in rest && fields.all { ':' in it } && lines.none { '\n' in it }
    }

    /** Of status lines that follow each other, only the last may begin a head; those before it are quotations. */
    private fun isHead(text: String, statusLine: IntRange): Boolean {
        val lines = text.substring(statusLine.first, minOf(text.length, statusLine.first + MAX_HEAD_LENGTH))
            .substringBefore(HEAD_END)
            .split(LINE_END)
        val fields = lines.drop(1).takeWhile { statusLines(it).isEmpty() }
        return statusLines(lines.first()).size == 1 && fields.any(isMark)
    }

    private companion object {
        const val LINE_END = "\r\n"
        const val HEAD_END = "\r\n\r\n"

        /** Length up to which the fields that are looked for stand in a head. */
        const val MAX_HEAD_LENGTH = 1_024
        const val JOINED_BODY = "an answer inside the body of another"
    }
}
