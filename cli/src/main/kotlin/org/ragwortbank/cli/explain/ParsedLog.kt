package org.ragwortbank.cli.explain

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import java.io.BufferedReader

/**
 * The log lines that were parsed from one or more log files.
 *
 * @property unparsedCount number of lines that are truncated or not log lines
 */
data class ParsedLog(
    val lines: PersistentList<ParsedLogLine> = persistentListOf(),
    val unparsedCount: Int = 0,
) {
    /** Adds the lines of [reader], which belong to [source]. */
    fun withLinesOf(source: String, reader: BufferedReader): ParsedLog =
        reader.useLines { lineTexts ->
            lineTexts.filter { it.isNotBlank() }.fold(this) { log, lineText -> log.withLine(source, lineText) }
        }

    private fun withLine(source: String, lineText: String): ParsedLog {
        val line = ParsedLogLine.parse(source, lineText)
        return if (line == null) copy(unparsedCount = unparsedCount + 1) else copy(lines = lines.add(line))
    }
}
