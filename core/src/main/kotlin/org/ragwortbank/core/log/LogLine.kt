package org.ragwortbank.core.log

/** One line for the log: a short sentence under the prefix of [part]. */
data class LogLine(
    val part: LogPart,
    val message: String,
)
