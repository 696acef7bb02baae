package org.ragwortbank.core.log

private const val REPLACEMENT = '?'

/** The first [maxLength] characters of text from outside; all but visible ASCII characters and spaces are replaced. */
fun cleanedText(text: String, maxLength: Int): String =
    text.take(maxLength).map { if (it in ' '..'~') it else REPLACEMENT }.joinToString("")

/** The first [maxLength] characters of an id from outside; all but visible ASCII characters are replaced. */
fun cleanedId(id: String, maxLength: Int): String = cleanedText(id, maxLength).replace(' ', REPLACEMENT)
