package org.ragwortbank.cli.toml

/** The size [name], such as `330MB` of a million bytes each, in bytes; null if it is missing. */
internal fun TomlReader.optionalBytes(name: String): Long? {
    if (!isGiven(name)) return null
    return value(name, null, "a size of 1MB or more, such as \"330MB\"") { element ->
        stringContent(element)?.takeIf { it.endsWith(MEGABYTES) }?.removeSuffix(MEGABYTES)?.toDoubleOrNull()
            ?.takeIf { it in 1.0..MAX_MEGABYTES }?.let { (it * MEGABYTE_BYTES).toLong() }
    }
}

private const val MEGABYTES = "MB"
private const val MEGABYTE_BYTES = 1_000_000
private const val MAX_MEGABYTES = 1e9
