package org.ragwortbank.cli.toml

/** The value read from one or more files, or all problems found in them. */
sealed interface Validated<out T> {
    /** The files have no problems. */
    data class Valid<T>(val value: T) : Validated<T>

    /** The files have problems, each described by one text. */
    data class Invalid(val problems: List<String>) : Validated<Nothing>
}
