package org.ragwortbank.cli.toml

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import net.peanuuutz.tomlkt.TomlElement
import net.peanuuutz.tomlkt.TomlLiteral
import net.peanuuutz.tomlkt.TomlTable
import org.apache.commons.text.similarity.LevenshteinDistance

/**
 * Reads settings from one TOML table and collects all problems instead of stopping at the first.
 *
 * Each name that is requested counts as known; [finish] reports all other names in the table.
 */
internal class TomlReader(
    private val file: String,
    private val table: TomlTable,
    private val pathPrefix: String = "",
) {
    private var knownNames: PersistentSet<String> = persistentSetOf()
    private var problems: PersistentList<TomlProblem> = persistentListOf()

    /** Problems that don't prevent the use of the file, because a default stands in for each unreadable value. */
    var warnings: PersistentList<TomlProblem> = persistentListOf()
        private set

    private var requestedSettings: PersistentList<TomlSetting> = persistentListOf()

    /** The settings that were requested, in order of request. */
    val settings: List<TomlSetting> get() = requestedSettings.distinct()

    /** The names in this table. */
    val names: Set<String> get() = table.keys

    /** Whether the table contains [name]; marks [name] as known. */
    fun isGiven(name: String): Boolean = takeElement(name) != null

    /** The value of [name] converted by [parse]; [default] if it is missing or [parse] returns null. */
    fun <T> value(name: String, default: T?, expected: String, parse: (TomlElement) -> T?): T? {
        val element = takeElement(name)
        val parsed = element?.let(parse)
        requestedSettings = requestedSettings.add(TomlSetting(pathPrefix + name, default?.toString(), expected))
        if (element != null && parsed == null) addProblem(name, "'${displayText(element)}'", expected)
        if (element == null && default == null) addProblem(name, "nothing", expected)
        return parsed ?: default
    }

    /** Reads the sub-table [name] with [read]; a missing one counts as empty. */
    fun <T> section(name: String, read: (TomlReader) -> T): T {
        val sectionReader = openSection(name)
        val result = read(sectionReader)
        problems = problems.addAll(sectionReader.finish())
        warnings = warnings.addAll(sectionReader.warnings)
        requestedSettings = requestedSettings.addAll(sectionReader.settings)
        return result
    }

    /** Reads the sub-table [name], whose values all have defaults, with [read]; its problems count as warnings. */
    fun <T> optionalSection(name: String, read: (TomlReader) -> T): T {
        val sectionReader = openSection(name)
        val result = read(sectionReader)
        warnings = warnings.addAll(sectionReader.finish())
        requestedSettings = requestedSettings.addAll(sectionReader.settings)
        return result
    }

    private fun openSection(name: String): TomlReader {
        val element = takeElement(name)
        if (element != null && element !is TomlTable) addProblem(name, "'${displayText(element)}'", "a table")
        return TomlReader(file, element as? TomlTable ?: TomlTable(emptyMap<String, Any>()), "$pathPrefix$name.")
    }

    /** Reports every name that was not requested, and returns all problems. */
    fun finish(): List<TomlProblem> {
        table.keys.filter { it !in knownNames }.forEach(::addUnknownName)
        return problems
    }

    private fun takeElement(name: String): TomlElement? {
        knownNames = knownNames.add(name)
        return table[name]
    }

    private fun addUnknownName(name: String) {
        val nearestName = knownNames.minByOrNull { levenshtein.apply(it, name) }
        val expected = if (nearestName == null) "no setting here" else "a known setting, the nearest is '$nearestName'"
        addProblem(name, "an unknown setting", expected)
    }

    /** Adds a problem with the setting [name]. */
    fun addProblem(name: String, found: String, expected: String) {
        problems = problems.add(TomlProblem(file, pathPrefix + name, found, expected))
    }

    private fun displayText(element: TomlElement): String =
        if (element is TomlLiteral) element.content else element.toString()

    private companion object {
        val levenshtein: LevenshteinDistance = LevenshteinDistance.getDefaultInstance()
    }
}
