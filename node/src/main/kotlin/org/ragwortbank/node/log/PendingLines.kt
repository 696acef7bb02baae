package org.ragwortbank.node.log

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * Log lines that wait to be written. Lines beyond [MAX_CHARACTERS] are dropped and counted.
 *
 * @property characters total length of [lines]
 * @property droppedCount number of lines that were dropped because the rest was not written in time
 */
internal data class PendingLines(
    val lines: PersistentList<String> = persistentListOf(),
    val characters: Int = 0,
    val droppedCount: Int = 0,
) {
    /** Whether there is nothing to write. */
    val isEmpty: Boolean get() = lines.isEmpty() && droppedCount == 0

    /** These lines with [line] appended, or with one more dropped line if there is no room for it. */
    fun add(line: String): PendingLines {
        val updatedCharacters = characters + line.length
        return when {
            updatedCharacters > MAX_CHARACTERS -> copy(droppedCount = droppedCount + 1)
            else -> copy(lines = lines.add(line), characters = updatedCharacters)
        }
    }

    companion object {
        /** Some seconds of lines of a fully loaded process. */
        const val MAX_CHARACTERS = 1_000_000
    }
}
