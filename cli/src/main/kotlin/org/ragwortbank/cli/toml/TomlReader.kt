package org.ragwortbank.cli.toml

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import net.peanuuutz.tomlkt.TomlArray
import net.peanuuutz.tomlkt.TomlElement
import net.peanuuutz.tomlkt.TomlLiteral
import net.peanuuutz.tomlkt.TomlTable
import org.apache.commons.text.similarity.LevenshteinDistance
import org.ragwortbank.platform.http.Address
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds

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

    /** Names in this table. */
    val names: Set<String> get() = table.keys

    /** All mistakes found so far. */
    val problems: List<TomlProblem> get() = noted

    /** The text of [name]; without a [default] it must be given. */
    fun string(name: String, default: String? = null): String =
        read(name, default, "a text") { text(it)?.takeIf(String::isNotEmpty) } ?: ""

    /** The text of [name]; null when it is not given. */
    fun optionalString(name: String): String? =
        if (element(name) == null) null else read(name, null, "a text") { text(it)?.takeIf(String::isNotEmpty) }

    /** True or false. */
    fun boolean(name: String, default: Boolean): Boolean = optionalBoolean(name) ?: default

    /** True or false; null when it is not given. */
    fun optionalBoolean(name: String): Boolean? =
        if (element(name) == null) null else read(name, null, "true or false") { scalar(it)?.toBooleanStrictOrNull() }

    /** A whole number within [range]. */
    fun long(name: String, default: Long?, range: LongRange): Long =
        read(name, default, "a whole number from ${range.first} to ${range.last}") { element ->
            scalar(element)?.toLongOrNull()?.takeIf { it in range }
        } ?: range.first

    /** A whole number within [range]. */
    fun int(name: String, default: Int, range: IntRange): Int =
        long(name, default.toLong(), range.first.toLong()..range.last.toLong()).toInt()

    /** A duration such as `500ms` or `2s`. */
    fun duration(name: String, default: Duration): Duration =
        read(name, default, "a duration of 1ms to 1d, such as \"500ms\"") { element ->
            text(element)?.let(Duration::parseOrNull)?.takeIf { it in 1.milliseconds..1.days }
        } ?: default

    /** A place such as `127.0.0.1:8080`. */
    fun address(name: String, default: Address?): Address =
        read(name, default, "HOST:PORT") { element -> text(element)?.let(Address::parse) } ?: Address("", 0)

    /** One of [values]; letter case does not matter. */
    fun <T : Enum<T>> choice(name: String, default: T?, values: List<T>): T =
        read(name, default, values.joinToString(" or ") { "\"${it.name.lowercase()}\"" }) { element ->
            values.firstOrNull { it.name.equals(text(element), ignoreCase = true) }
        } ?: values.first()

    /** A list of texts. */
    fun strings(name: String): List<String> =
        read(name, emptyList(), "a list of texts") { element ->
            (element as? TomlArray)?.map { text(it) }?.takeIf { null !in it }?.filterNotNull()
        } ?: emptyList()

    /** Reads the table [name] by [block]; when it is not given, an empty one. */
    fun <T> section(name: String, block: (TomlReader) -> T): T {
        val child = element(name)
        val inner = TomlReader(file, child as? TomlTable ?: TomlTable(emptyMap<String, Any>()), "$prefix$name.")
        if (child != null && child !is TomlTable) note(name, "'$child'", "a table")
        val result = block(inner)
        noted = noted.addAll(inner.finish())
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

    private fun <T> read(name: String, default: T?, expected: String, parse: (TomlElement) -> T?): T? {
        val element = element(name)
        val parsed = element?.let(parse)
        if (element != null && parsed == null) note(name, "'${show(element)}'", expected)
        if (element == null && default == null) note(name, "nothing", expected)
        return parsed ?: default
    }

    private fun noteUnknown(name: String) {
        val nearest = known.minByOrNull { distance.apply(it, name) }
        val hint = if (nearest == null) "no setting here" else "a known setting, the nearest is '$nearest'"
        note(name, "an unknown setting", hint)
    }

    private fun note(name: String, found: String, expected: String) {
        noted = noted.add(TomlProblem(file, prefix + name, found, expected))
    }

    private fun text(element: TomlElement): String? =
        (element as? TomlLiteral)?.takeIf { it.type == TomlLiteral.Type.String }?.content

    private fun scalar(element: TomlElement): String? =
        (element as? TomlLiteral)?.takeIf { it.type != TomlLiteral.Type.String }?.content

    private fun show(element: TomlElement): String = if (element is TomlLiteral) element.content else element.toString()

    private companion object {
        val distance: LevenshteinDistance = LevenshteinDistance.getDefaultInstance()
    }
}
