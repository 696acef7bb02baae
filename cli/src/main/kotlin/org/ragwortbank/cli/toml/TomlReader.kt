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
 * Takes settings out of one TOML table and notes every mistake instead of stopping at the first.
 *
 * Each setting that is asked for counts as known; [finish] reports all others.
 */
internal class TomlReader(
    private val file: String,
    private val table: TomlTable,
    private val pathPrefix: String = "",
) {
    private var knownNames: PersistentSet<String> = persistentSetOf()
    private var problems: PersistentList<TomlProblem> = persistentListOf()

    private var requestedSettings: PersistentList<TomlSetting> = persistentListOf()

    /** The settings that were asked for, in order. */
    val settings: List<TomlSetting> get() = requestedSettings.distinct()

    /** Names in this table. */
    val names: Set<String> get() = table.keys

    /** Whether [name] is given. */
    fun isGiven(name: String): Boolean = takeElement(name) != null

    /** What [parse] makes of [name]; [default] when it is not given or not as [expected]. */
    fun <T> value(name: String, default: T?, expected: String, parse: (TomlElement) -> T?): T? {
        val element = takeElement(name)
        val parsed = element?.let(parse)
        requestedSettings = requestedSettings.add(TomlSetting(pathPrefix + name, default?.toString(), expected))
        if (element != null && parsed == null) addProblem(name, "'${displayText(element)}'", expected)
        if (element == null && default == null) addProblem(name, "nothing", expected)
        return parsed ?: default
    }

    /** Reads the table [name] by [read]; when it is not given, an empty one. */
    fun <T> section(name: String, read: (TomlReader) -> T): T {
        val element = takeElement(name)
        val sectionTable = element as? TomlTable ?: TomlTable(emptyMap<String, Any>())
        val sectionReader = TomlReader(file, sectionTable, "$pathPrefix$name.")
        if (element != null && element !is TomlTable) addProblem(name, "'${displayText(element)}'", "a table")
        val result = read(sectionReader)
        problems = problems.addAll(sectionReader.finish())
        requestedSettings = requestedSettings.addAll(sectionReader.settings)
        return result
    }

    /** Notes every name that was not asked for, and returns all mistakes. */
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

    /** Notes a mistake in [name]. */
    fun addProblem(name: String, found: String, expected: String) {
        problems = problems.add(TomlProblem(file, pathPrefix + name, found, expected))
    }

    private fun displayText(element: TomlElement): String =
        if (element is TomlLiteral) element.content else element.toString()

    private companion object {
        val levenshtein: LevenshteinDistance = LevenshteinDistance.getDefaultInstance()
    }
}
