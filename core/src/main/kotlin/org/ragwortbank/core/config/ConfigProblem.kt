package org.ragwortbank.core.config

/**
 * An invalid or inconsistent value in the operators' tables.
 *
 * @property path table, row and field, separated by dots
 * @property found the value in the tables, quoted or described
 * @property expected which values are valid
 */
data class ConfigProblem(
    val path: String,
    val found: String,
    val expected: String,
) {
    override fun toString(): String = "$path: found $found, expected $expected"
}
