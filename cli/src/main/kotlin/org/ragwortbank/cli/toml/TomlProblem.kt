package org.ragwortbank.cli.toml

/**
 * A problem in a TOML file.
 *
 * @property settingPath dotted path of the setting; empty if the problem concerns the whole file
 */
data class TomlProblem(
    val file: String,
    val settingPath: String,
    val found: String,
    val expected: String,
) {
    override fun toString(): String = "$file: ${settingPath.ifEmpty { "file" }}: found $found, expected $expected"
}
