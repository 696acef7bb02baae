package org.ragwortbank.clients.http

private const val PROTOCOL = "HTTP/1."
private val STATUS_LINE = Regex("""HTTP/1\.[01] [1-5][0-9]{2}""")

/** Length of the longest text in which the beginning of a status line isn't recognised yet. */
const val STATUS_LINE_LENGTH: Int = 12

/** Whether the first line of an answer begins anywhere in [text]. */
fun hasStatusLine(text: String): Boolean = STATUS_LINE.containsMatchIn(text)

/** Where the first lines of answers begin in [text], each with as much as shows that it is one. */
fun statusLines(text: String): List<IntRange> =
    if (PROTOCOL in text) STATUS_LINE.findAll(text).map { it.range }.toList() else emptyList()
