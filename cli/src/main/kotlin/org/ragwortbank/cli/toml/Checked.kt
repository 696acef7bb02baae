package org.ragwortbank.cli.toml

/** Something read from files, or all mistakes in them. */
sealed interface Checked<out T> {
    /** Without mistakes. */
    data class Good<T>(val value: T) : Checked<T>

    /** With mistakes, one text each. */
    data class Bad(val problems: List<String>) : Checked<Nothing>
}
