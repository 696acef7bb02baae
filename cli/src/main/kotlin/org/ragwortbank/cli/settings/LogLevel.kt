package org.ragwortbank.cli.settings

/** Lowest level of the lines that are logged. */
internal enum class LogLevel {
    DEBUG,
    INFO,
    WARN,
    ERROR,
}
