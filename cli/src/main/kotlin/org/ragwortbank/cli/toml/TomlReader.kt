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
    private val prefix: String = "",
) {
    private var known: PersistentSet<String> = persistentSetOf()
    private var noted: PersistentList<TomlProblem> = persistentListOf()

    private var read: PersistentList<TomlSetting> = persistentListOf()

    /** The settings that were asked for, in order. */
    val settings: List<TomlSetting> get() = read.distinct()

    /** Names in this table. */
    val names: Set<String> get() = table.keys

    /** Whether [name] is given. */
    fun has(name: String): Boolean = element(name) != null

    /** What [parse] makes of [name]; [default] when it is not given or not as [expected]. */
    fun <T> value(name: String, default: T?, expected: String, parse: (TomlElement) -> T?): T? {
        val element = element(name)
        val parsed = element?.let(parse)
        read = read.add(TomlSetting(prefix + name, default?.toString(), expected))
        if (element != null && parsed == null) note(name, "'${show(element)}'", expected)
        if (element == null && default == null) note(name, "nothing", expected)
        return parsed ?: default
    }

    /** Reads the table [name] by [block]; when it is not given, an empty one. */
    fun <T> section(name: String, block: (TomlReader) -> T): T {
        val child = element(name)
        val inner = TomlReader(file, child as? TomlTable ?: TomlTable(emptyMap<String, Any>()), "$prefix$name.")
        if (child != null && child !is TomlTable) note(name, "'${show(child)}'", "a table")
        val result = block(inner)
        noted = noted.addAll(inner.finish())
        read = read.addAll(inner.settings)
        return result
    }

    /** Notes every name that was not asked for, and returns all mistakes. */
    fun finish(): List<TomlProblem> {
        table.keys.filter { it !in known }.forEach(::noteUnknown)
        return noted
    }

    private fun element(name: String): TomlElement? {
        known = known.add(name)
        return table[name]
    }

    private fun noteUnknown(name: String) {
        val nearest = known.minByOrNull { distance.apply(it, name) }
        val expected = if (nearest == null) "no setting here" else "a known setting, the nearest is '$nearest'"
        note(name, "an unknown setting", expected)
    }

    /** Notes a mistake in [name]. */
    fun note(name: String, found: String, expected: String) {
        noted = noted.add(TomlProblem(file, prefix + name, found, expected))
    }

    private fun show(element: TomlElement): String = if (element is TomlLiteral) element.content else element.toString()

    private companion object {
        val distance: LevenshteinDistance = LevenshteinDistance.getDefaultInstance()
    }
}
