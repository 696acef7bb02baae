package org.ragwortbank.cli.explain

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import java.io.BufferedReader

/**
 * Lines of logs, read one after the other.
 *
 * @property unreadable lines that are torn or no log lines
 */
data class ReadLines(
    val lines: PersistentList<LoggedLine> = persistentListOf(),
    val unreadable: Int = 0,
) {
    /** These lines and those of [reader], which belong to [source]. */
    fun and(source: String, reader: BufferedReader): ReadLines =
        reader.useLines { texts -> texts.filter { it.isNotBlank() }.fold(this) { all, text -> all.and(source, text) } }

    private fun and(source: String, text: String): ReadLines {
        val line = LoggedLine.parse(source, text)
        return if (line == null) copy(unreadable = unreadable + 1) else copy(lines = lines.add(line))
    }
}
