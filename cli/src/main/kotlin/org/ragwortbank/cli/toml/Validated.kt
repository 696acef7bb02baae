package org.ragwortbank.cli.toml

/** The value read from one or more files, or all problems found in them. */
sealed interface Validated<out T> {
    /** The files can be used; each of [warnings] describes an optional value that was replaced by its default. */
    data class Valid<T>(val value: T, val warnings: List<String> = emptyList()) : Validated<T>

    /** The files have problems, each described by one text. */
    data class Invalid(val problems: List<String>) : Validated<Nothing>
}
