package org.ragwortbank.core.log

/** A log line: [message] is a short sentence, written under the prefix of [part]. */
data class LogLine(
    val part: LogPart,
    val message: String,
)
