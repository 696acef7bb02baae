package org.ragwortbank.cli.toml

/**
 * A mistake in a TOML file.
 *
 * @property settingPath the setting, or the empty text when the file as a whole is meant
 */
data class TomlProblem(
    val file: String,
    val settingPath: String,
    val found: String,
    val expected: String,
) {
    override fun toString(): String = "$file: ${settingPath.ifEmpty { "file" }}: found $found, expected $expected"
}
