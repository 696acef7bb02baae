package org.ragwortbank.core.config

/**
 * A mistake in the operators' tables.
 *
 * @property path table, row and field
 */
data class ConfigProblem(
    val path: String,
    val found: String,
    val expected: String,
) {
    override fun toString(): String = "$path: found $found, expected $expected"
}
