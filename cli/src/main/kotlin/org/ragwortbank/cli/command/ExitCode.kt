package org.ragwortbank.cli.command

/** Exit codes of the commands; docs/ERRORS.md lists them. */
enum class ExitCode(val number: Int, val meaning: String) {
    OK(number = 0, "The command did what was asked."),
    INVALID(number = 1, "A file or table has mistakes; nothing was changed."),
    USAGE(number = 2, "The command line can't be understood."),
    CONFLICT(number = 3, "The tables were changed by somebody else; nothing was changed."),
    UNAVAILABLE(number = 4, "The platform did not answer; nothing was changed."),
    UNKNOWN(number = 5, "The platform did not answer after the change was sent; it may have been stored."),
    NOT_IN_FORCE(number = 6, "The change is stored but not yet in force on every instance."),
    START_FAILED(number = 7, "The process could not start, because one of its addresses can't be used."),
}
