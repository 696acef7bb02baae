package org.ragwortbank.cli.settings

/** Lowest severity that is logged. */
internal enum class LogLevel {
    DEBUG,
    INFO,
    WARN,
    ERROR,
}
