package org.ragwortbank.clients.http

/**
 * Where the head of an answer breaks the grammar of HTTP/1.1.
 *
 * @property line number of the line, from 1 for the status line
 * @property expected what the grammar has there
 * @property found the text that stands there
 */
internal data class HeadDefect(
    val line: Int,
    val expected: String,
    val found: String,
) {
    override fun toString(): String = "line $line of the head: expected $expected, found ${printable(found)}"

    private fun printable(text: String): String =
        text.take(MAX_FOUND_LENGTH).map { if (it in VISIBLE) it else '?' }.joinToString("", "'", "'")

    private companion object {
        /** Keeps log lines and error texts short. */
        const val MAX_FOUND_LENGTH = 40
        val VISIBLE = ' '..'~'
    }
}
