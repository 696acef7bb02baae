package org.ragwortbank.clients.http

private val STATUS_LINE = Regex("""HTTP/1\.[01] [1-5][0-9]{2}""")

/** Length of the longest text in which the beginning of a status line isn't recognised yet. */
const val STATUS_LINE_LENGTH: Int = 12

/** Whether the first line of an answer begins anywhere in [text]. */
fun hasStatusLine(text: String): Boolean = STATUS_LINE.containsMatchIn(text)
