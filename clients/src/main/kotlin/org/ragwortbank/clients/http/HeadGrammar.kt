package org.ragwortbank.clients.http

/**
 * The grammar of an answer's head in HTTP/1.1 (RFC 9112), without the leniency that it allows to recipients: a gateway
 * that repairs the head of a faulty upstream passes on an answer that nobody gave.
 */
internal object HeadGrammar {
    private val statusLine = Regex("""HTTP/1\.[01] [1-5][0-9]{2}( [\t -~\x80-\xFF]*)?""")
    private val length = Regex("[0-9]{1,18}")
    private const val NAME_SYMBOLS = "!#$%&'*+-.^_`|~"
    private const val DELETE = '\u007F'
    private const val CHUNKED = "chunked"
    private const val CONTENT_LENGTH = "content-length:"
    private const val TRANSFER_ENCODING = "transfer-encoding:"

    /** The defect of [text], the line with [number] of a head, from 1 for the status line; null when it is sound. */
    fun defectOfLine(number: Int, text: String): HeadDefect? {
        val expected = if (number == 1) expectedStatusLine(text) else expectedField(text)
        return expected?.let { HeadDefect(number, it, text) }
    }

    /** The first of all [lines] of a head that leaves it open where the body ends; null when there is none. */
    fun defectOfLengths(lines: List<String>): HeadDefect? {
        val lengths = lines.filter { it.startsWith(CONTENT_LENGTH, ignoreCase = true) }
        val encodings = lines.filter { it.startsWith(TRANSFER_ENCODING, ignoreCase = true) }
        val odd = lengths.firstOrNull { !length.matches(valueOf(it)) }
            ?: encodings.firstOrNull { !valueOf(it).equals(CHUNKED, ignoreCase = true) }
            ?: (lengths + encodings).drop(1).firstOrNull()
        return odd?.let { HeadDefect(lines.indexOf(it) + 1, "one length, or chunks, or neither", it) }
    }

    private fun expectedStatusLine(text: String): String? =
        if (statusLine.matches(text)) null else "HTTP/1.1 or 1.0 and a status from 100 to 599"

    private fun expectedField(text: String): String? {
        val nameEnd = text.indexOf(':')
        return when {
            nameEnd <= 0 || !text.substring(0, nameEnd).all(::isNameCharacter) ->
                "a field whose name has neither blanks nor control characters"
            !text.substring(nameEnd).all(::isValueCharacter) -> "a field value without control characters"
            else -> null
        }
    }

    private fun valueOf(line: String): String = line.substringAfter(':').trim(' ', '\t')

    private fun isNameCharacter(character: Char): Boolean =
        character in 'a'..'z' || character in 'A'..'Z' || character in '0'..'9' || character in NAME_SYMBOLS

    private fun isValueCharacter(character: Char): Boolean =
        character == '\t' || character >= ' ' && character != DELETE
}
