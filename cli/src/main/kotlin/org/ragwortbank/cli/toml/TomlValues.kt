package org.ragwortbank.cli.toml

import net.peanuuutz.tomlkt.TomlArray
import org.ragwortbank.clients.http.Address
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds

/** The string [name]; required if there is no [default]. */
internal fun TomlReader.string(name: String, default: String? = null): String =
    value(name, default, "a text") { stringContent(it) }.orEmpty()

/** The string [name]; null if it is missing. */
internal fun TomlReader.optionalString(name: String): String? =
    value(name, "", "a text") { stringContent(it) }?.ifEmpty { null }

/** The Boolean [name]; null if it is missing. */
internal fun TomlReader.optionalBoolean(name: String): Boolean? =
    if (isGiven(name)) value(name, null, "true or false") { scalarContent(it)?.toBooleanStrictOrNull() } else null

/** The integer [name] within [range]; required if there is no [default]. */
internal fun TomlReader.long(name: String, default: Long?, range: LongRange): Long {
    val expected = "a whole number from ${range.first} to ${range.last}"
    return value(name, default, expected) { scalarContent(it)?.toLongOrNull()?.takeIf(range::contains) } ?: range.first
}

/** The integer [name] within [range]. */
internal fun TomlReader.int(name: String, default: Int, range: IntRange): Int =
    long(name, default.toLong(), range.first.toLong()..range.last.toLong()).toInt()

/** The number [name] within [range], whole or with a fraction. */
internal fun TomlReader.number(name: String, default: Double, range: ClosedRange<Double>): Double {
    val expected = "a number from ${range.start} to ${range.endInclusive}"
    return value(name, default, expected) { scalarContent(it)?.toDoubleOrNull()?.takeIf(range::contains) } ?: default
}

/** The duration [name], such as `500ms` or `2s`. */
internal fun TomlReader.duration(name: String, default: Duration): Duration {
    val parsed = value(name, default, "a duration of 1ms to 1d, such as \"500ms\"") { element ->
        stringContent(element)?.let(Duration::parseOrNull)?.takeIf { it in 1.milliseconds..1.days }
    }
    return parsed ?: default
}

/** The address [name], such as `127.0.0.1:8080`; required if there is no [default]. */
internal fun TomlReader.address(name: String, default: Address?): Address =
    value(name, default, "HOST:PORT") { element -> stringContent(element)?.let(Address::parse) } ?: Address("", 0)

/** The enum constant [name], one of [values], ignoring case. */
internal fun <T : Enum<T>> TomlReader.choice(name: String, default: T, values: List<T>): T {
    val expected = values.joinToString(" or ") { "\"${it.name.lowercase()}\"" }
    val parsed = value(name, default, expected) { element ->
        values.firstOrNull { it.name.equals(stringContent(element), ignoreCase = true) }
    }
    return parsed ?: default
}

/** The list of strings [name]; empty if it is missing. */
internal fun TomlReader.strings(name: String): List<String> =
    value(name, emptyList(), "a list of texts") { element ->
        (element as? TomlArray)?.map(::stringContent)?.takeIf { null !in it }?.filterNotNull()
    }.orEmpty()
