package org.ragwortbank.cli.toml

/** Something read from files, or all mistakes in them. */
sealed interface Validated<out T> {
    /** Without mistakes. */
    data class Valid<T>(val value: T) : Validated<T>

    /** With mistakes, one text each. */
    data class Invalid(val problems: List<String>) : Validated<Nothing>
}
